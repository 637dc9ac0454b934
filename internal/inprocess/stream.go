package inprocess

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/structs"
)

// maxEventBytes bounds the size of one event of a turn's stream.
const maxEventBytes = 8 << 20

// ErrStreamCut is returned if the stream of a turn ends before its answer.
var ErrStreamCut = errors.New("stream of the turn ended before its answer")

// Stream sends a turn, calls event for each event of its stream, the answer's included, and
// returns the answer. A refusal is returned as a *structs.Refusal.
func (c Client) Stream(ctx context.Context, id structs.ProgramID, number uint32, key, content string, event func(structs.TurnEvent)) (structs.TurnAnswer, error) {
	body, err := json.Marshal(httpapi.TurnRequest{Number: number, Content: content})
	if err != nil {
		return structs.TurnAnswer{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+"/v1/programs/"+string(id)+"/turns", bytes.NewReader(body))
	if err != nil {
		return structs.TurnAnswer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Accept", "text/event-stream")
	response, err := c.client().Do(req)
	if err != nil {
		return structs.TurnAnswer{}, errors.Wrapf(err, "stream turn %d of %s", number, id)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return structs.TurnAnswer{}, refusalOf(response)
	}
	return readEvents(response, event)
}

// readEvents reads the events of the stream up to the answer or a refusal.
func readEvents(response *http.Response, event func(structs.TurnEvent)) (structs.TurnAnswer, error) {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventBytes)
	name := ""
	for lines.Scan() {
		line := lines.Bytes()
		if text, ok := bytes.CutPrefix(line, []byte("event: ")); ok {
			name = string(text)
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if name == "refusal" {
			var p httpapi.Problem
			if err := json.Unmarshal(data, &p); err != nil {
				return structs.TurnAnswer{}, errors.Wrap(err, "refusal in the stream")
			}
			return structs.TurnAnswer{}, p.Refusal()
		}
		var e structs.TurnEvent
		if err := json.Unmarshal(data, &e); err != nil {
			return structs.TurnAnswer{}, errors.Wrapf(err, "event %q", name)
		}
		event(e)
		if e.Answer != nil {
			return *e.Answer, nil
		}
	}
	return structs.TurnAnswer{}, errors.CombineErrors(ErrStreamCut, lines.Err())
}

// client returns the HTTP client that sends the requests.
func (c Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}
