package program

import (
	"encoding/binary"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// Sizes of compressed history.
const (
	// frameBytes is the uncompressed size from which a frame is full and takes no more messages.
	frameBytes = 256 << 10
	// maxFrameBytes bounds the decompressed size of one frame of a checkpoint.
	maxFrameBytes = 64 << 20
)

// frame is a compressed run of messages.
type frame struct {
	messages   int
	plainBytes int
	data       []byte
}

// history is the conversation of one program. Its first messages may be compressed; the digest
// covers the whole conversation.
type history struct {
	digest structs.ConversationDigest
	// count is the number of messages, tokens their estimated length in tokens, bytes their
	// uncompressed length.
	count  int
	tokens int
	bytes  int64
	frames []frame
	// plain holds all messages when expanded is set, else those after the frames.
	plain    []structs.Message
	expanded bool
}

func (h *history) append(ms ...structs.Message) {
	h.digest = h.digest.AppendAll(ms)
	h.count += len(ms)
	h.tokens += structs.Tokens(ms)
	for _, m := range ms {
		h.bytes += int64(messageBytes(m))
	}
	h.plain = append(h.plain, ms...)
}

// framedMessages returns the number of messages that the frames hold.
func (h *history) framedMessages() int {
	n := 0
	for _, f := range h.frames {
		n += f.messages
	}
	return n
}

// all returns the whole conversation, which the caller must not change. The messages stay
// expanded until the next compress.
func (h *history) all() ([]structs.Message, error) {
	if !h.expanded && len(h.frames) > 0 {
		ms := make([]structs.Message, 0, h.count)
		for _, f := range h.frames {
			var err error
			if ms, err = f.decode(ms); err != nil {
				return nil, err
			}
		}
		h.plain = append(ms, h.plain...)
	}
	h.expanded = true
	return h.expandedMessages(), nil
}

// expandedMessages returns the whole conversation after a successful call of all.
func (h *history) expandedMessages() []structs.Message { return h.plain[:len(h.plain):len(h.plain)] }

// message returns the message with index i.
func (h *history) message(i int) (structs.Message, error) {
	if h.expanded {
		return h.plain[i], nil
	}
	for _, f := range h.frames {
		if i >= f.messages {
			i -= f.messages
			continue
		}
		ms, err := f.decode(nil)
		if err != nil {
			return structs.Message{}, err
		}
		return ms[i], nil
	}
	return h.plain[i], nil
}

// fullyCompressed reports whether no message is held uncompressed.
func (h *history) fullyCompressed() bool { return !h.expanded && len(h.plain) == 0 }

// compress moves all messages into frames. A last frame shorter than frameBytes is extended,
// so that a conversation of many short turns compresses as a whole.
func (h *history) compress() {
	rest := h.plain
	if h.expanded {
		rest = h.plain[h.framedMessages():]
	}
	h.expanded = false
	h.plain = nil
	if len(rest) == 0 {
		return
	}
	// A frame that does not decode is kept as it is; the next call of all reports it.
	if n := len(h.frames); n > 0 && h.frames[n-1].plainBytes < frameBytes {
		if ms, err := h.frames[n-1].decode(nil); err == nil {
			rest = append(ms, rest...)
			h.frames = h.frames[: n-1 : n-1] // a History may share the last frame
		}
	}
	for len(rest) > 0 {
		n := frameLength(rest)
		h.frames = append(h.frames, newFrame(rest[:n]))
		rest = rest[n:]
	}
}

// frameLength returns the number of messages at the start of ms that fill one frame; at least 1.
func frameLength(ms []structs.Message) int {
	size := 0
	for i, m := range ms {
		size += messageBytes(m)
		if size >= frameBytes {
			return i + 1
		}
	}
	return len(ms)
}

// messageBytes returns the length of a message's text without its role.
func messageBytes(m structs.Message) int {
	n := len(m.Content) + len(m.ToolCallID)
	for _, c := range m.ToolCalls {
		n += len(c.ID) + len(c.Name) + len(c.Arguments)
	}
	return n
}

// The encoder and decoder are safe for concurrent EncodeAll and DecodeAll, which start no goroutine.
var (
	frameEncoder    = newFrameEncoder()
	frameDecoder, _ = zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxFrameBytes))
)

// newFrameEncoder returns an initialized encoder. The library would otherwise initialize it at its
// first use, with a channel that would belong to the synctest bubble of that use.
func newFrameEncoder() *zstd.Encoder {
	encoder, _ := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderCRC(true))
	encoder.EncodeAll([]byte{0}, nil)
	return encoder
}

func newFrame(ms []structs.Message) frame {
	plain := encodeMessages(ms)
	return frame{messages: len(ms), plainBytes: len(plain), data: frameEncoder.EncodeAll(plain, nil)}
}

// decode appends the frame's messages to ms.
func (f frame) decode(ms []structs.Message) ([]structs.Message, error) {
	plain, err := frameDecoder.DecodeAll(f.data, make([]byte, 0, min(f.plainBytes, 2*frameBytes)))
	if err != nil {
		return nil, errors.Wrapf(ErrMalformedRecord, "history frame: %v", err)
	}
	return decodeMessages(ms, string(plain), f.messages)
}

// encodeMessages writes the messages one after the other: each string after its length, and the
// tool calls of a message after their number.
func encodeMessages(ms []structs.Message) []byte {
	size := 0
	for _, m := range ms {
		size += messageBytes(m) + (4+3*len(m.ToolCalls))*binary.MaxVarintLen32
	}
	out := make([]byte, 0, size)
	text := func(s string) {
		out = binary.AppendUvarint(out, uint64(len(s)))
		out = append(out, s...)
	}
	for _, m := range ms {
		text(string(m.Role))
		text(m.Content)
		text(m.ToolCallID)
		out = binary.AppendUvarint(out, uint64(len(m.ToolCalls)))
		for _, c := range m.ToolCalls {
			text(c.ID)
			text(c.Name)
			text(c.Arguments)
		}
	}
	return out
}

// decodeMessages appends the n messages in data to ms. Their strings share the memory of data. It
// returns ErrMalformedRecord unless data holds exactly n messages.
func decodeMessages(ms []structs.Message, data string, n int) ([]structs.Message, error) {
	r := messageReader{rest: data}
	for range n {
		m := structs.Message{Role: structs.Role(r.text()), Content: r.text(), ToolCallID: r.text()}
		calls := r.number()
		for i := uint64(0); i < calls && !r.malformed; i++ {
			m.ToolCalls = append(m.ToolCalls, structs.ToolCall{ID: r.text(), Name: r.text(), Arguments: r.text()})
		}
		if r.malformed {
			break
		}
		ms = append(ms, m)
	}
	if r.malformed || len(r.rest) > 0 {
		return nil, errors.Wrapf(ErrMalformedRecord, "history frame of %d bytes does not hold %d messages", len(data), n)
	}
	return ms, nil
}

// messageReader reads numbers and strings. Once the data proves malformed, it sets malformed, and
// what it returns has no meaning.
type messageReader struct {
	rest      string
	malformed bool
}

// number reads a length or a count. Neither can exceed the number of bytes that follow.
func (r *messageReader) number() uint64 {
	v, n := binary.Uvarint([]byte(r.rest[:min(len(r.rest), binary.MaxVarintLen64)]))
	if n <= 0 || v > uint64(len(r.rest)) {
		r.malformed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *messageReader) text() string {
	n := r.number()
	if r.malformed || n > uint64(len(r.rest)) {
		r.malformed = true
		return ""
	}
	s := r.rest[:n]
	r.rest = r.rest[n:]
	return s
}
