package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
)

const (
	// dialTimeout is the timeout for dialling another entry.
	dialTimeout = 150 * time.Millisecond
	// MaxMessageSize is the maximum size in bytes of a message between entries. A list of a few
	// thousand rows fits.
	MaxMessageSize = 8 << 20
	// maxHeadBytes bounds the heads of an answer.
	maxHeadBytes = 64 << 10
	// messageReadTimeout bounds the time to read a message.
	messageReadTimeout = 5 * time.Second
	// maxIdleConns is the maximum number of idle connections to one entry.
	maxIdleConns = 4
)

// HandleMessage has f answer the messages at a path, which may hold patterns of chi. f reads the
// message with ReadMessage and answers with WriteAnswer.
func (m *Mesh) HandleMessage(path string, f http.HandlerFunc) { m.messages[path] = f }

// Handler returns the HTTP handler for messages of other entries.
func (m *Mesh) Handler() http.Handler {
	r := chi.NewRouter()
	for path, f := range m.messages {
		r.Post(path, f)
	}
	return r
}

// ReadMessage decodes a message. It answers a malformed one and returns false.
func (m *Mesh) ReadMessage(w http.ResponseWriter, r *http.Request, message any) bool {
	m.setReadDeadline(w, r, time.Now().Add(messageReadTimeout))
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxMessageSize)).Decode(message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	m.setReadDeadline(w, r, time.Time{}) // the server watches the connection by reading, while the message is answered
	return true
}

// setReadDeadline sets the time at which reading a message ends; zero means never.
func (m *Mesh) setReadDeadline(w http.ResponseWriter, r *http.Request, t time.Time) {
	if err := http.NewResponseController(w).SetReadDeadline(t); err != nil && !errors.Is(err, http.ErrNotSupported) {
		m.cfg.Requests.Info("read_deadline_not_set").Str("peer", r.RemoteAddr).Err(err).End()
	}
}

// WriteAnswer answers a message.
func (m *Mesh) WriteAnswer(w http.ResponseWriter, r *http.Request, answer any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		m.cfg.Requests.Info("mesh_answer_lost").Str("peer", r.RemoteAddr).Err(err).End()
	}
}

// newClient returns the client that sends messages to other entries.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// Post sends a message to the HTTP address of an entry and decodes the answer. Failures to send it
// or to get a valid answer are marked as platformapi.ErrUnavailable.
func (m *Mesh) Post(ctx context.Context, address, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "create request to entry %q", address)
	}
	resp, err := m.http.Do(req)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "send %s to entry %q", path, address), platformapi.ErrUnavailable)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxMessageSize+1))
	if err == nil && len(data) > MaxMessageSize {
		err = errors.Newf("longer than %d bytes", MaxMessageSize)
	}
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Newf("status %d", resp.StatusCode)
	}
	if err == nil {
		err = json.Unmarshal(data, answer)
	}
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "answer of entry %q to %s", address, path), platformapi.ErrUnavailable)
	}
	return nil
}
