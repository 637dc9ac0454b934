package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Service is the client of one application engine or tool service. It is safe for concurrent
// use.
type Service struct {
	client
}

// NewService returns a client of the service at the base URL, with the given transport or
// with a new one if it is nil.
func NewService(id structs.UpstreamID, base string, transport http.RoundTripper) *Service {
	return &Service{client: newClient(id, base, transport)}
}

// Close closes idle connections.
func (s *Service) Close() { s.http.CloseIdleConnections() }

// Invoke runs one tool call, limited by its timeout unless that is 0, and returns the
// result. It does not retry. A call that times out returns a refusal with
// CodeToolTimeout, with outcome unknown once the request may have been sent.
func (s *Service) Invoke(ctx context.Context, call structs.ToolRequest) (string, error) {
	if call.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, call.Timeout)
		defer cancel()
	}
	request := InvokeRequest{Arguments: json.RawMessage(call.Arguments), Key: call.Key}
	var response InvokeResponse
	step := "tool " + call.Name
	err := s.exchange(ctx, step, "/invoke/"+url.PathEscape(call.Name), request, &response)
	if err == nil {
		return response.Result, nil
	}
	if refusal := structs.AsRefusal(err); refusal.Code == structs.CodeDeadlineExceeded {
		refusal.Code = structs.CodeToolTimeout
		return "", refusal
	}
	return "", err
}

// Status returns the state of the execution with the given key. ServiceNeverRan is final: the
// service refuses the key from then on.
func (s *Service) Status(ctx context.Context, name, key string) (StatusResponse, error) {
	query := url.Values{"name": {name}, "key": {key}}
	var response StatusResponse
	err := s.exchange(ctx, "status of "+name, "/status?"+query.Encode(), nil, &response)
	return response, err
}

// Load returns the service's load report.
func (s *Service) Load(ctx context.Context) (structs.Load, error) {
	var load structs.Load
	err := s.exchange(ctx, "load", "/load", nil, &load)
	return load, err
}
