package kvcache

import (
	"encoding/binary"
	"slices"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cespare/xxhash/v2"
)

const (
	// BlockTokens is the number of tokens that one block covers.
	BlockTokens = 256
	// BlockBytes is the number of bytes of rendered text that one block covers.
	BlockBytes = BlockTokens * structs.BytesPerToken
)

// Separators of fields and messages in the rendered text. Roles never contain them. Other
// fields may, so two different conversations can be rendered alike.
const (
	endOfField   = "\x1f"
	endOfMessage = "\x1e"
)

// Chain divides a growing conversation into blocks and hashes them. The hash of a block
// covers all text up to its end, so blocks with equal hashes have equal rendered prefixes,
// except for hash collisions. The ids of tool calls are not rendered. The zero value is an
// empty conversation. Use Clone to copy a Chain.
type Chain struct {
	blocks []uint64
	digest xxhash.Digest
	// fill is the number of bytes in the current block, bytes that of the conversation.
	fill  int
	bytes int
}

// Blocks returns the hashes of the full blocks of the conversation.
func Blocks(messages []structs.Message) []uint64 {
	var c Chain
	c.Append(messages...)
	return c.blocks
}

// Append appends messages to the conversation. Its amortised cost depends only on their
// length, not on the length of the conversation.
func (c *Chain) Append(messages ...structs.Message) {
	for i := range messages {
		c.appendMessage(&messages[i])
	}
}

// Clone returns a copy that can be extended without a change to c.
func (c *Chain) Clone() Chain {
	out := *c
	out.blocks = slices.Clip(c.blocks)
	return out
}

// Blocks returns the hashes of the full blocks. The caller must not modify the slice.
func (c *Chain) Blocks() []uint64 { return c.blocks }

// Tokens returns the estimated length of the rendered conversation in tokens. Unlike
// structs.Tokens, it counts roles and separators.
func (c *Chain) Tokens() int {
	return (c.bytes + structs.BytesPerToken - 1) / structs.BytesPerToken
}

func (c *Chain) appendMessage(m *structs.Message) {
	c.write(string(m.Role))
	c.write(endOfField)
	c.write(m.Content)
	for i := range m.ToolCalls {
		c.write(endOfField)
		c.write(m.ToolCalls[i].Name)
		c.write(endOfField)
		c.write(m.ToolCalls[i].Arguments)
	}
	c.write(endOfMessage)
}

func (c *Chain) write(text string) {
	if c.bytes == 0 {
		// The zero value of xxhash.Digest is not usable.
		c.digest.Reset()
	}
	c.bytes += len(text)
	for len(text) > 0 {
		n := min(len(text), BlockBytes-c.fill)
		_, _ = c.digest.WriteString(text[:n])
		text = text[n:]
		c.fill += n
		if c.fill == BlockBytes {
			c.endBlock()
		}
	}
}

// endBlock ends the current block and starts the hash of the next one with the block's hash.
func (c *Chain) endBlock() {
	sum := c.digest.Sum64()
	c.blocks = append(c.blocks, sum)
	c.fill = 0
	c.digest.Reset()
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], sum)
	_, _ = c.digest.Write(seed[:])
}
