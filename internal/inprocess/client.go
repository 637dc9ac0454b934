package inprocess

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Client calls the HTTP API of an entry with one token.
type Client struct {
	// URL is the base URL of the entry, Token the token of a caller or an operator.
	URL   string
	Token string
	// HTTP sends the requests; if nil, http.DefaultClient does.
	HTTP *http.Client
}

// Do sends a request with an optional JSON body and idempotency key, and decodes the
// answer into out unless out is nil. An error that the API answered is a *structs.Refusal;
// after any other error the outcome is unknown.
func (c Client) Do(ctx context.Context, method, path, key string, body, out any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, reader)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	response, err := c.client().Do(req)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, path)
	}
	defer response.Body.Close()
	return decodeResponse(response, out)
}

// decodeResponse decodes the body of a response into out unless out is nil. For a status of
// 400 or more it returns the refusal in the body instead, see refusalOf.
func decodeResponse(response *http.Response, out any) error {
	if response.StatusCode >= http.StatusBadRequest {
		return refusalOf(response)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(out), "answer of the API")
}

// refusalOf returns the refusal of a problem document, or another error if the body is not
// JSON.
func refusalOf(response *http.Response) error {
	var p httpapi.Problem
	if err := json.NewDecoder(response.Body).Decode(&p); err != nil {
		return errors.Wrapf(err, "status %d without a problem document", response.StatusCode)
	}
	return p.Refusal()
}

// Open opens a program and returns its id.
func (c Client) Open(ctx context.Context, request httpapi.OpenRequest, key string) (structs.ProgramID, error) {
	var opened httpapi.OpenResponse
	err := c.Do(ctx, http.MethodPost, "/v1/programs", key, request, &opened)
	return opened.ID, err
}

// Turn sends a turn and returns its answer.
func (c Client) Turn(ctx context.Context, id structs.ProgramID, number uint32, key, content string) (structs.TurnAnswer, error) {
	var answer structs.TurnAnswer
	request := httpapi.TurnRequest{Number: number, Content: content}
	err := c.Do(ctx, http.MethodPost, "/v1/programs/"+string(id)+"/turns", key, request, &answer)
	return answer, err
}

// History returns the state of the program with its history.
func (c Client) History(ctx context.Context, id structs.ProgramID) (structs.ProgramView, error) {
	var view structs.ProgramView
	err := c.Do(ctx, http.MethodGet, "/v1/programs/"+string(id)+"/history", "", nil, &view)
	return view, err
}

// Close ends the program.
func (c Client) Close(ctx context.Context, id structs.ProgramID) error {
	return c.Do(ctx, http.MethodDelete, "/v1/programs/"+string(id), "", nil, nil)
}
