package side

import (
	"container/list"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/buckthornroute/buckthornroute/structs"
)

// conversation is one program's history as the side holds it.
type conversation struct {
	program structs.ProgramID
	digest  structs.Digest
	count   int
	// compressed is the zstd form of the JSON of the messages.
	compressed []byte
}

// histories keeps the conversations that the side served last, so that entries
// send only what follows them. It is bounded in bytes; the least recently used go first.
type histories struct {
	mu       sync.Mutex
	limit    int
	used     int
	order    *list.List
	byID     map[structs.ProgramID]*list.Element
	compress *zstd.Encoder
	expand   *zstd.Decoder
}

func newHistories(limitBytes int) (*histories, error) {
	compress, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, errors.Wrap(err, "history compressor")
	}
	expand, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, errors.Wrap(err, "history decompressor")
	}
	return &histories{
		limit:    limitBytes,
		order:    list.New(),
		byID:     map[structs.ProgramID]*list.Element{},
		compress: compress,
		expand:   expand,
	}, nil
}

// resolve returns the whole conversation of a call: the base that the side holds
// and the delta. It refuses with CodeHistoryMissing when the base is not held,
// and with CodeBadRequest when the digest of the result differs.
func (h *histories) resolve(program structs.ProgramID, baseCount int, base structs.Digest, delta []structs.Message, whole structs.Digest) ([]structs.Message, error) {
	var messages []structs.Message
	if baseCount > 0 {
		held, err := h.get(program, baseCount, base)
		if err != nil {
			return nil, err
		}
		messages = held
	}
	if got := base.AppendAll(delta); got != whole {
		return nil, structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "history",
			"the messages of program %s have digest %s, the call names %s", program, got, whole)
	}
	return append(messages, delta...), nil
}

func (h *histories) get(program structs.ProgramID, count int, digest structs.Digest) ([]structs.Message, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	missing := structs.Refusalf(structs.CodeHistoryMissing, structs.OutcomeNotRun, "history",
		"the first %d messages of program %s are not held", count, program)
	e := h.byID[program]
	if e == nil {
		return nil, missing
	}
	c := e.Value.(*conversation)
	if c.count < count {
		return nil, missing
	}
	h.order.MoveToFront(e)
	messages, err := h.decode(c)
	if err != nil {
		h.drop(e)
		return nil, missing
	}
	if c.count == count && c.digest == digest {
		return messages, nil
	}
	messages = messages[:count]
	if (structs.Digest{}).AppendAll(messages) != digest {
		return nil, missing
	}
	return messages, nil
}

func (h *histories) decode(c *conversation) ([]structs.Message, error) {
	text, err := h.expand.DecodeAll(c.compressed, nil)
	if err != nil {
		return nil, err
	}
	var messages []structs.Message
	return messages, json.Unmarshal(text, &messages)
}

// put replaces the program's conversation.
func (h *histories) put(program structs.ProgramID, messages []structs.Message, digest structs.Digest) {
	text, err := json.Marshal(messages)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.byID[program]; e != nil {
		h.drop(e)
	}
	c := &conversation{program: program, digest: digest, count: len(messages)}
	c.compressed = h.compress.EncodeAll(text, nil)
	if len(c.compressed) > h.limit {
		return
	}
	h.used += len(c.compressed)
	h.byID[program] = h.order.PushFront(c)
	for h.used > h.limit {
		h.drop(h.order.Back())
	}
}

func (h *histories) drop(e *list.Element) {
	c := e.Value.(*conversation)
	h.used -= len(c.compressed)
	h.order.Remove(e)
	delete(h.byID, c.program)
}
