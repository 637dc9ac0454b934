package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/structs"
)

const (
	// requestTimeout limits each request other than an order, which has orderTimeout. The
	// slowest of them is a preset switch.
	requestTimeout = 15 * time.Second
	// maxResponseBytes limits the size of a response body.
	maxResponseBytes = 64 << 20
)

// client sends requests to the operators' API of one entry.
type client struct {
	base  string
	token string
	http  *http.Client
}

func newClient(c *cli.Command) (*client, error) {
	base := c.String(flagEntry)
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, usagef("--%s %q is not an http or https URL", flagEntry, base)
	}
	token := c.String(flagToken)
	if token == "" {
		return nil, usagef("--%s or BUCKTHORN_TOKEN is required", flagToken)
	}
	return &client{
		base:  strings.TrimSuffix(base, "/"),
		token: token,
		http:  &http.Client{Timeout: requestTimeout},
	}, nil
}

// path returns the path of the operators' API that consists of the elements, each escaped.
func path(elements ...string) string {
	escaped := make([]string, len(elements))
	for i, e := range elements {
		escaped[i] = url.PathEscape(e)
	}
	return "/operator/" + strings.Join(escaped, "/")
}

func (c *client) get(ctx context.Context, path string, out any) error {
	return c.do(ctx, http.MethodGet, path, nil, out)
}

func (c *client) post(ctx context.Context, path string, body, out any) error {
	return c.do(ctx, http.MethodPost, path, body, out)
}

// do sends one request and decodes the response body into out unless out is nil. The error
// is a *structs.Refusal if the entry responded with a problem document or did not respond.
// Without a response, the outcome is not_run for a GET and unknown for all other methods.
func (c *client) do(ctx context.Context, method, path string, body, out any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return errors.Wrapf(err, "body of %s %s", method, path)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, path)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return c.noResponse(method, path, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return c.noResponse(method, path, err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return c.problem(res, data)
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(data, out), "response of %s to %s %s", c.base, method, path)
}

// noResponse returns the error of a request that got no complete response.
func (c *client) noResponse(method, path string, err error) error {
	outcome := structs.OutcomeUnknown
	if method == http.MethodGet {
		outcome = structs.OutcomeNotRun
	}
	return &structs.Refusal{Code: structs.CodeHomeUnreachable, Outcome: outcome, Step: method + " " + path, Peer: c.base, Detail: err.Error()}
}

// problem returns the error of a response with an error status: the refusal in the problem
// document, or an error with the start of the body if it is not one.
func (c *client) problem(res *http.Response, data []byte) error {
	var p httpapi.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Code == "" {
		return errors.Newf("%s answered %s: %.200s", c.base, res.Status, data)
	}
	return p.Refusal()
}

// describe formats an error for the operator.
func describe(err error) string {
	var r *structs.Refusal
	if !errors.As(err, &r) {
		return err.Error()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s (outcome %s)", r.Code, r.Outcome)
	if r.Step != "" {
		fmt.Fprintf(&b, " at step %q", r.Step)
	}
	if r.Peer != "" {
		fmt.Fprintf(&b, " of peer %q", r.Peer)
	}
	if r.Detail != "" {
		b.WriteString(": " + r.Detail)
	}
	if r.RetryAfter > 0 {
		fmt.Fprintf(&b, "; retry after %v", r.RetryAfter.Round(time.Millisecond))
	}
	return b.String()
}
