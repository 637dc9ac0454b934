package workload

import (
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cespare/xxhash/v2"
)

// filler returns text of the given number of tokens, which depends only on the subject.
func filler(subject string, tokens int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	state := xxhash.Sum64String(subject)
	out := make([]byte, 0, tokens*structs.BytesPerToken)
	for range tokens {
		state = state*6364136223846793005 + 1442695040888963407
		r := state >> 33
		out = append(out, letters[r%26], letters[r/26%26], letters[r/676%26], ' ')
	}
	return string(out)
}
