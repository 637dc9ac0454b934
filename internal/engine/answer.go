package engine

import (
	"context"
	"io"
	"strings"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

const (
	// endOfStream is the data of the last event.
	endOfStream = "[DONE]"
	// maxAnswerText bounds the text of an answer.
	maxAnswerText = 8 << 20
)

// answerReader puts an answer together from the chunks of one stream, each of which
// must belong to its call and attempt and continue the text.
type answerReader struct {
	client  client
	call    structs.ModelCall
	onChunk func(offset int, text string)

	text     strings.Builder
	tools    []structs.ToolCall
	usage    structs.Usage
	finished bool
}

func newAnswerReader(c client, call structs.ModelCall, resume string, onChunk func(int, string)) *answerReader {
	if onChunk == nil {
		onChunk = func(int, string) {}
	}
	a := &answerReader{client: c, call: call, onChunk: onChunk}
	a.text.WriteString(resume)
	return a
}

// read takes the whole stream.
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

func (a *answerReader) checkEnd(ctx context.Context) error {
	if !a.finished {
		return a.fail(ctx, ErrStreamBroken, errors.Newf("no finish reason after %d bytes", a.text.Len()))
	}
	return nil
}

// fail is the refusal of a broken stream. A call whose caller left is no fault of
// the stream.
func (a *answerReader) fail(ctx context.Context, sentinel, err error) error {
	refusal := a.client.broken(ctx, stepModelCall, errors.Wrap(err, sentinel.Error()))
	if ctx.Err() != nil {
		return refusal
	}
	return &streamError{Refusal: refusal, sentinel: sentinel}
}

// add checks one chunk and appends what it brings.
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
		a.addTools(choice.Delta.ToolCalls)
		a.finished = a.finished || choice.FinishReason != ""
	}
	return nil
}

// addText appends text that starts at offset. Text that is there already is dropped.
func (a *answerReader) addText(ctx context.Context, offset int, text string) error {
	if text == "" {
		return nil
	}
	have := a.text.Len()
	if a.repeated(offset, text) {
		return nil
	}
	if offset != have {
		return a.fail(ctx, ErrWrongOffset, errors.Newf("offset %d, have %d bytes", offset, have))
	}
	if have+len(text) > maxAnswerText {
		return a.fail(ctx, ErrWrongOffset, errors.Newf("answer exceeds %d bytes", maxAnswerText))
	}
	a.text.WriteString(text)
	a.onChunk(offset, text)
	return nil
}

// repeated reports whether the text at offset has been delivered already.
func (a *answerReader) repeated(offset int, text string) bool {
	end := offset + len(text)
	return offset >= 0 && end <= a.text.Len() && a.text.String()[offset:end] == text
}

// addTools appends tool calls; one whose id is there already is dropped.
func (a *answerReader) addTools(calls []ChatToolCall) {
	for _, c := range calls {
		if !a.hasTool(c.ID) {
			a.tools = append(a.tools, fromChatCall(c))
		}
	}
}

func (a *answerReader) hasTool(id string) bool {
	for _, known := range a.tools {
		if known.ID == id {
			return true
		}
	}
	return false
}

func usageOf(u ChatUsage) structs.Usage {
	return structs.Usage{
		PromptTokens:    u.PromptTokens,
		CachedTokens:    u.PromptTokensDetails.CachedTokens,
		GeneratedTokens: u.CompletionTokens,
		Calls:           1,
	}
}

func (a *answerReader) result(upstream structs.UpstreamID) structs.ModelAnswer {
	return structs.ModelAnswer{
		Call:    a.call.Call,
		Attempt: a.call.Attempt,
		Message: structs.Message{
			Role:      structs.RoleAssistant,
			Content:   a.text.String(),
			ToolCalls: a.tools,
		},
		Usage:    a.usage,
		Upstream: upstream,
	}
}
