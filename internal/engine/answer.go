package engine

import (
	"context"
	"io"
	"strings"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

const (
	// endOfStream is the data of the event that ends a stream.
	endOfStream = "[DONE]"
	// maxTextBytes is the maximum size of the text of an answer.
	maxTextBytes = 8 << 20
)

// answerReader assembles an answer from the chunks of one stream. Each chunk must carry the
// id of the call and the number of the attempt, and its text must start where the text
// received so far ends, or repeat text already received.
type answerReader struct {
	client  client
	call    structs.ModelCall
	onChunk func(offset int, text string)

	text      strings.Builder
	toolCalls []structs.ToolCall
	usage     structs.Usage
	// finished reports whether a chunk carried a finish reason.
	finished bool
}

// newAnswerReader returns a reader whose text begins with resume, the text that an earlier
// attempt has delivered.
func newAnswerReader(c client, call structs.ModelCall, resume string, onChunk func(int, string)) *answerReader {
	if onChunk == nil {
		onChunk = func(int, string) {}
	}
	a := &answerReader{client: c, call: call, onChunk: onChunk}
	a.text.WriteString(resume)
	return a
}

// read reads the stream to its end.
func (a *answerReader) read(ctx context.Context, body io.Reader) error {
	events := NewEventReader(body)
	for {
		data, err := events.Next()
		if err != nil {
			return a.fail(ctx, ErrStreamBroken, errors.Wrapf(err, "after %d bytes", a.text.Len()))
		}
		if string(data) == endOfStream {
			return a.checkEnd(ctx)
		}
		chunk, err := decodeChunk(data)
		if err != nil {
			return a.fail(ctx, ErrStreamBroken, errors.Wrap(err, "decode chunk"))
		}
		if err := a.add(ctx, chunk); err != nil {
			return err
		}
	}
}

// checkEnd returns an error when the stream ended without a finish reason.
func (a *answerReader) checkEnd(ctx context.Context) error {
	if !a.finished {
		return a.fail(ctx, ErrStreamBroken, errors.Newf("no finish reason after %d bytes", a.text.Len()))
	}
	return nil
}

// fail returns the refusal for a stream that broke off or violated the protocol. The refusal
// matches the sentinel, unless the call's context has ended: then the stream is not at fault.
func (a *answerReader) fail(ctx context.Context, sentinel, err error) error {
	refusal := a.client.outcomeUnknown(ctx, stepModelCall, errors.Wrap(err, sentinel.Error()))
	if ctx.Err() != nil {
		return refusal
	}
	return &streamError{Refusal: refusal, sentinel: sentinel}
}

// add checks one chunk and appends its text, tool calls and usage to the answer.
func (a *answerReader) add(ctx context.Context, chunk ChatChunk) error {
	if chunk.CallID != a.call.Call || chunk.Attempt != a.call.Attempt {
		return a.fail(ctx, ErrWrongCall, errors.Newf("call %q attempt %d", chunk.CallID, chunk.Attempt))
	}
	if chunk.Usage != nil {
		a.usage = usageOf(*chunk.Usage)
	}
	for _, choice := range chunk.Choices {
		if err := a.addText(ctx, chunk.Offset, choice.Delta.Content); err != nil {
			return err
		}
		a.addToolCalls(choice.Delta.ToolCalls)
		a.finished = a.finished || choice.FinishReason != ""
	}
	return nil
}

// addText appends text that starts at offset and passes it to onChunk. Text that was
// delivered before is dropped; any other text must start where the answer ends.
func (a *answerReader) addText(ctx context.Context, offset int, text string) error {
	if text == "" {
		return nil
	}
	received := a.text.Len()
	if a.isDelivered(offset, text) {
		return nil
	}
	if offset != received {
		return a.fail(ctx, ErrWrongOffset, errors.Newf("offset %d, have %d bytes", offset, received))
	}
	if received+len(text) > maxTextBytes {
		return a.fail(ctx, ErrWrongOffset, errors.Newf("answer exceeds %d bytes", maxTextBytes))
	}
	a.text.WriteString(text)
	a.onChunk(offset, text)
	return nil
}

// isDelivered reports whether the answer already has this text at offset.
func (a *answerReader) isDelivered(offset int, text string) bool {
	end := offset + len(text)
	return offset >= 0 && end <= a.text.Len() && a.text.String()[offset:end] == text
}

// addToolCalls appends tool calls; one whose id the answer already has is dropped. Each tool
// call arrives whole in one chunk, whereas OpenAI's API splits it over several.
func (a *answerReader) addToolCalls(calls []ChatToolCall) {
	for _, c := range calls {
		if !a.hasToolCall(c.ID) {
			a.toolCalls = append(a.toolCalls, fromChatCall(c))
		}
	}
}

func (a *answerReader) hasToolCall(id string) bool {
	for _, known := range a.toolCalls {
		if known.ID == id {
			return true
		}
	}
	return false
}

// usageOf returns the usage of one model call.
func usageOf(u ChatUsage) structs.Usage {
	return structs.Usage{
		PromptTokens:    u.PromptTokens,
		CachedTokens:    u.PromptTokensDetails.CachedTokens,
		GeneratedTokens: u.CompletionTokens,
		Calls:           1,
	}
}

// result returns the assembled answer.
func (a *answerReader) result(upstream structs.UpstreamID) structs.ModelAnswer {
	return structs.ModelAnswer{
		Call:    a.call.Call,
		Attempt: a.call.Attempt,
		Message: structs.Message{
			Role:      structs.RoleAssistant,
			Content:   a.text.String(),
			ToolCalls: a.toolCalls,
		},
		Usage:    a.usage,
		Upstream: upstream,
	}
}
