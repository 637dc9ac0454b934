package workload

import (
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cespare/xxhash/v2"
)

// filler returns text of the given number of tokens. The text is pseudorandom; the same subject
// gives the same text, so a shorter one is a prefix of a longer one.
func filler(subject string, tokens int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	state := xxhash.Sum64String(subject)
	out := make([]byte, 0, tokens*structs.BytesPerToken)
	for range tokens {
		// A linear congruential generator with Knuth's MMIX constants.
		state = state*6364136223846793005 + 1442695040888963407
		r := state >> 33
		// Three letters and a space are one token of structs.BytesPerToken bytes.
		out = append(out, letters[r%26], letters[r/26%26], letters[r/676%26], ' ')
	}
	return string(out)
}
