package side

import (
	"container/list"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/buckthornroute/buckthornroute/structs"
)

// conversation is the stored history of one program.
type conversation struct {
	program structs.ProgramID
	digest  structs.ConversationDigest
	count   int
	// compressed is the zstd form of the JSON of the messages.
	compressed []byte
}

// historyCache stores the conversations that the side served last, so that entries
// send only the messages after the stored ones. Its size is limited in bytes; the least
// recently used conversations are dropped first.
type historyCache struct {
	mu    sync.Mutex
	limit int
	used  int
	// recent lists the conversations, most recently used first.
	recent  *list.List
	byID    map[structs.ProgramID]*list.Element
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// newHistoryCache returns an empty cache of up to limitBytes bytes of compressed text.
func newHistoryCache(limitBytes int) (*historyCache, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, errors.Wrap(err, "history compressor")
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, errors.Wrap(err, "history decompressor")
	}
	return &historyCache{
		limit:   limitBytes,
		recent:  list.New(),
		byID:    map[structs.ProgramID]*list.Element{},
		encoder: encoder,
		decoder: decoder,
	}, nil
}

// resolve returns the complete conversation of a call: the first baseCount messages,
// which the cache stores, followed by delta. It refuses with CodeHistoryMissing if the
// base is not stored, and with CodeBadRequest if the digest of the result differs
// from wholeDigest.
func (h *historyCache) resolve(program structs.ProgramID, baseCount int, baseDigest structs.ConversationDigest, delta []structs.Message, wholeDigest structs.ConversationDigest) ([]structs.Message, error) {
	var messages []structs.Message
	if baseCount > 0 {
		stored, err := h.get(program, baseCount, baseDigest)
		if err != nil {
			return nil, err
		}
		messages = stored
	}
	if got := baseDigest.AppendAll(delta); got != wholeDigest {
		return nil, structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "history",
			"the messages of program %s have digest %s, the call names %s", program, got, wholeDigest)
	}
	return append(messages, delta...), nil
}

// get returns the program's first count messages if they have the digest.
func (h *historyCache) get(program structs.ProgramID, count int, digest structs.ConversationDigest) ([]structs.Message, error) {
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
	h.recent.MoveToFront(e)
	messages, err := h.decode(c)
	if err != nil {
		h.drop(e)
		return nil, missing
	}
	if c.count == count && c.digest == digest {
		return messages, nil
	}
	messages = messages[:count]
	if (structs.ConversationDigest{}).AppendAll(messages) != digest {
		return nil, missing
	}
	return messages, nil
}

// decode decompresses and unmarshals the messages of c.
func (h *historyCache) decode(c *conversation) ([]structs.Message, error) {
	text, err := h.decoder.DecodeAll(c.compressed, nil)
	if err != nil {
		return nil, err
	}
	var messages []structs.Message
	return messages, json.Unmarshal(text, &messages)
}

// put stores the program's conversation in place of the former one. A conversation that
// exceeds the limit of the cache is not stored.
func (h *historyCache) put(program structs.ProgramID, messages []structs.Message, digest structs.ConversationDigest) {
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
	c.compressed = h.encoder.EncodeAll(text, nil)
	if len(c.compressed) > h.limit {
		return
	}
	h.used += len(c.compressed)
	h.byID[program] = h.recent.PushFront(c)
	for h.used > h.limit {
		h.drop(h.recent.Back())
	}
}

// drop removes a conversation from the cache.
func (h *historyCache) drop(e *list.Element) {
	c := e.Value.(*conversation)
	h.used -= len(c.compressed)
	h.recent.Remove(e)
	delete(h.byID, c.program)
}
