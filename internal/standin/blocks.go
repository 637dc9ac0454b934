package standin

import (
	"encoding/binary"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cespare/xxhash/v2"
)

const (
	// blockTokens is the size of a block of the prefix cache.
	blockTokens = 256
	// blockBytes is the rendered text of a block.
	blockBytes = blockTokens * structs.BytesPerToken
)

// render returns the conversation as the text that an engine caches.
func render(messages []structs.Message) []byte {
	var text []byte
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, '\n')
		text = append(text, m.Content...)
		for _, c := range m.ToolCalls {
			text = append(text, c.Name...)
			text = append(text, c.Arguments...)
		}
		text = append(text, '\n')
	}
	return text
}

// blocks returns the chained hashes of the whole blocks of the conversation.
// Each hash covers all the text before its end.
func blocks(messages []structs.Message) []uint64 {
	text := render(messages)
	out := make([]uint64, 0, len(text)/blockBytes)
	var chain [8]byte
	for ; len(text) >= blockBytes; text = text[blockBytes:] {
		h := xxhash.New()
		h.Write(chain[:])          //nolint:errcheck // a hash does not fail
		h.Write(text[:blockBytes]) //nolint:errcheck // a hash does not fail
		sum := h.Sum64()
		out = append(out, sum)
		binary.BigEndian.PutUint64(chain[:], sum)
	}
	return out
}
