package ledger

// Grants maps keys of a row to tokens that it may not show yet: claims, and grants of the build
// before under the names of their holders.
type Grants map[string]int

// Merge takes the greater count for each key.
func (g Grants) Merge(other Grants) {
	for key, n := range other {
		g[key] = max(g[key], n)
	}
}

// Witnesses is the number of entries that know the claims of a program.
const Witnesses = 3

// Quorum returns how many of the witnesses must have acknowledged a claim, and have been asked for the
// claims that they know: any two such majorities share a witness. A claim that one process
// alone knows is none.
func Quorum(witnesses int) int { return max(2, witnesses/2+1) }
