package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxResponseBytes bounds the body of a successful response.
	maxResponseBytes = 64 << 20
	// maxHeadBytes bounds the heads of a response.
	maxHeadBytes = 64 << 10
	// maxErrorBytes is the number of bytes read of an error response's body.
	maxErrorBytes = 4 << 10
	// requestTimeout bounds one request, with its response body; a shorter deadline of its context
	// applies too.
	requestTimeout = 10 * time.Second
	// maxIdleConnsPerHost bounds the idle connections to the platform.
	maxIdleConnsPerHost = 64
)

// Client calls the platform's services over HTTP. It implements Table, VMList and
// Weights; its method Objects returns the object store. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var (
	_ Table   = (*Client)(nil)
	_ VMList  = (*Client)(nil)
	_ Weights = (*Client)(nil)
	_ Objects = (*ObjectClient)(nil)
)

// NewClient returns a client for the platform at a base URL such as "http://10.0.0.5:7000".
func NewClient(base string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return NewClientWithTransport(base, transport)
}

// NewClientWithTransport returns a client that sends its requests with the given transport.
func NewClientWithTransport(base string, transport http.RoundTripper) *Client {
	return &Client{
		base: strings.TrimSuffix(base, "/"),
		http: &http.Client{Transport: transport, Timeout: requestTimeout},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Objects returns the client of the platform's object store.
func (c *Client) Objects() *ObjectClient { return &ObjectClient{client: c} }

// Apply implements Table.
func (c *Client) Apply(ctx context.Context, txn Txn) error {
	return c.postJSON(ctx, "/table/apply", txn, nil)
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.getJSON(ctx, "/table/row?"+url.Values{"key": {key}}.Encode(), &row)
	return row, err
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {after},
		"limit":  {strconv.Itoa(limit)},
	}
	var response ScanResponse
	err := c.getJSON(ctx, "/table/scan?"+query.Encode(), &response)
	return response.Rows, err
}

// List implements VMList.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	var response VMsResponse
	err := c.getJSON(ctx, "/vms", &response)
	return response.VMs, err
}

// Fetch implements Weights.
func (c *Client) Fetch(ctx context.Context, model, version string) (int64, error) {
	var response FetchResponse
	err := c.postJSON(ctx, "/weights/fetch", FetchRequest{Model: model, Version: version}, &response)
	return response.Bytes, err
}

// ObjectClient implements Objects with the connections of a Client.
type ObjectClient struct{ client *Client }

// Put implements Objects.
func (o *ObjectClient) Put(ctx context.Context, key string, value []byte) error {
	_, err := o.client.do(ctx, http.MethodPut, objectPath(key), value)
	return err
}

// Get implements Objects.
func (o *ObjectClient) Get(ctx context.Context, key string) ([]byte, error) {
	return o.client.do(ctx, http.MethodGet, objectPath(key), nil)
}

// Delete implements Objects. The platform reports success also if the object does not exist.
func (o *ObjectClient) Delete(ctx context.Context, key string) error {
	_, err := o.client.do(ctx, http.MethodDelete, objectPath(key), nil)
	return err
}

func objectPath(key string) string { return "/objects/" + url.PathEscape(key) }

// postJSON posts in as JSON and decodes the response into out, unless out is nil.
func (c *Client) postJSON(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode request of %s: %w: %w", path, ErrNotApplied, err)
	}
	responseBody, err := c.do(ctx, http.MethodPost, path, body)
	return decodeResponse(path, responseBody, out, err)
}

// getJSON decodes the response to a GET request into out.
func (c *Client) getJSON(ctx context.Context, path string, out any) error {
	responseBody, err := c.do(ctx, http.MethodGet, path, nil)
	return decodeResponse(path, responseBody, out, err)
}

// decodeResponse decodes the body that do returned for path into out, unless out is nil. If do
// returned an error, it returns that error.
func decodeResponse(path string, body []byte, out any, err error) error {
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode answer of %s: %w: %w", path, ErrUnavailable, err)
	}
	return nil
}

// do sends one request and returns the body of a successful response. Each error wraps exactly
// one of ErrConditionFailed, ErrNotFound, ErrNotApplied and ErrUnavailable.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request of %s: %w: %w", path, ErrNotApplied, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w: %w", method, path, sendFailure(err), err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, statusError(method, path, response)
	}
	// 1 byte above the limit tells a body of exactly maxResponseBytes from a longer one.
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w: %w", path, ErrUnavailable, err)
	}
	if len(responseBody) > maxResponseBytes {
		return nil, fmt.Errorf("answer of %s exceeds %d bytes: %w", path, maxResponseBytes, ErrUnavailable)
	}
	return responseBody, nil
}

// sendFailure returns ErrNotApplied if the request was never sent, because the dial
// failed, and ErrUnavailable if it may have been sent.
func sendFailure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrNotApplied
	}
	return ErrUnavailable
}

// statusError returns the error of a response that is not a success. With status 503,
// only the platform's own code proves that a write was not applied: a load balancer
// can answer 503 after the write was forwarded.
func statusError(method, path string, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var body ErrorBody
	if json.Unmarshal(text, &body) != nil {
		body = ErrorBody{Detail: string(text)}
	}
	sentinel := statusSentinel(response.StatusCode, body.Code)
	return fmt.Errorf("%s %s: status %d %s: %w: %s", method, path, response.StatusCode, body.Code, sentinel, body.Detail)
}

// statusSentinel returns the sentinel for the status and the platform's code of an error
// response. Only with status 503 does the code matter; see statusError.
func statusSentinel(status int, code ErrorCode) error {
	switch status {
	case http.StatusConflict:
		return ErrConditionFailed
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusTooManyRequests, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return ErrNotApplied
	case http.StatusServiceUnavailable:
		if code == CodeNotApplied {
			return ErrNotApplied
		}
	}
	return ErrUnavailable
}
