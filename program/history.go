package program

import (
	"encoding/binary"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// Sizes of compressed history.
const (
	// frameBytes is the size of plain text above which a frame is not extended.
	frameBytes = 256 << 10
	// maxFrameBytes bounds what one frame of a checkpoint may decompress to.
	maxFrameBytes = 64 << 20
)

// frame is a run of messages, compressed.
type frame struct {
	messages int
	plain    int
	data     []byte
}

// history is the conversation of one program. Its first messages may be compressed;
// the digest is always that of the whole.
type history struct {
	digest structs.Digest
	count  int
	tokens int
	bytes  int64
	frames []frame
	// plain holds the messages after those of the frames when expanded is false, else all.
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

// framed returns the number of messages that the frames hold.
func (h *history) framed() int {
	n := 0
	for _, f := range h.frames {
		n += f.messages
	}
	return n
}

// all returns the whole conversation, which the caller must not change.
// It keeps the messages expanded until compress.
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

// expandedMessages is all after a call of all that succeeded.
func (h *history) expandedMessages() []structs.Message { return h.plain[:len(h.plain):len(h.plain)] }

// message returns one message.
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

// compact reports whether no message is held in plain text.
func (h *history) compact() bool { return !h.expanded && len(h.plain) == 0 }

// compress moves all messages into frames. The last frame is extended while it is short,
// so that a conversation of many short turns compresses as a whole.
func (h *history) compress() {
	rest := h.plain
	if h.expanded {
		rest = h.plain[h.framed():]
	}
	h.expanded = false
	h.plain = nil
	if len(rest) == 0 {
		return
	}
	if n := len(h.frames); n > 0 && h.frames[n-1].plain < frameBytes {
		if ms, err := h.frames[n-1].decode(nil); err == nil {
			rest = append(ms, rest...)
			h.frames = h.frames[:n-1]
		}
	}
	for len(rest) > 0 {
		n := frameLength(rest)
		h.frames = append(h.frames, newFrame(rest[:n]))
		rest = rest[n:]
	}
}

// frameLength returns how many of the messages fill one frame; at least one.
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

// newFrameEncoder returns an encoder that is initialized. The library would do so at the
// first use, with a channel that would belong to the synctest bubble of that use.
func newFrameEncoder() *zstd.Encoder {
	encoder, _ := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderCRC(true))
	encoder.EncodeAll([]byte{0}, nil)
	return encoder
}

func newFrame(ms []structs.Message) frame {
	plain := encodeMessages(ms)
	return frame{messages: len(ms), plain: len(plain), data: frameEncoder.EncodeAll(plain, nil)}
}

// decode appends the frame's messages to ms.
func (f frame) decode(ms []structs.Message) ([]structs.Message, error) {
	plain, err := frameDecoder.DecodeAll(f.data, make([]byte, 0, min(f.plain, 2*frameBytes)))
	if err != nil {
		return nil, errors.Wrapf(ErrBadEntry, "history frame: %v", err)
	}
	return decodeMessages(ms, string(plain), f.messages)
}

// encodeMessages writes each message as its strings, each behind its length.
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

// decodeMessages reads n messages from the whole of data, which they share; it returns ErrBadEntry.
func decodeMessages(ms []structs.Message, data string, n int) ([]structs.Message, error) {
	r := messageReader{rest: data}
	for range n {
		m := structs.Message{Role: structs.Role(r.text()), Content: r.text(), ToolCallID: r.text()}
		calls := r.number()
		for i := uint64(0); i < calls && !r.bad; i++ {
			m.ToolCalls = append(m.ToolCalls, structs.ToolCall{ID: r.text(), Name: r.text(), Arguments: r.text()})
		}
		if r.bad {
			break
		}
		ms = append(ms, m)
	}
	if r.bad || len(r.rest) > 0 {
		return nil, errors.Wrapf(ErrBadEntry, "history frame of %d bytes does not hold %d messages", len(data), n)
	}
	return ms, nil
}

// messageReader reads numbers and strings until the data does not hold one.
type messageReader struct {
	rest string
	bad  bool
}

func (r *messageReader) number() uint64 {
	v, n := binary.Uvarint([]byte(r.rest[:min(len(r.rest), binary.MaxVarintLen64)]))
	if n <= 0 || v > uint64(len(r.rest)) {
		r.bad = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *messageReader) text() string {
	n := r.number()
	if r.bad || n > uint64(len(r.rest)) {
		r.bad = true
		return ""
	}
	s := r.rest[:n]
	r.rest = r.rest[n:]
	return s
}
