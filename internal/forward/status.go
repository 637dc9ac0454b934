package forward

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrStatus is the cause of ErrMalformed for an answer whose status HTTP/1.1 does not have, or that ends HTTP on its connection. What
// follows its head is not read.
var ErrStatus = errors.Wrap(ErrMalformed, "invalid status")

// statusDigits is the number of digits of a status, lastStatus the greatest one (RFC 9110, section 15).
const (
	statusDigits = 3
	lastStatus   = 599
)

// checkStatus reports whether a response is an informational one, which another response follows. It returns an error that wraps
// ErrStatus for a response that is neither that nor an answer. Of the informational ones only those that are registered count:
// an upstream in trouble may give a body to others, which must not be taken for the answer.
func checkStatus(resp *http.Response) (interim bool, err error) {
	text := resp.Status[:min(statusDigits, len(resp.Status))]
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return false, errors.Wrapf(ErrStatus, "%q", text)
		}
	}
	switch code := resp.StatusCode; {
	case code >= http.StatusOK && code <= lastStatus:
		return false, nil
	case code != http.StatusContinue && code != http.StatusProcessing && code != http.StatusEarlyHints:
		return false, errors.Wrapf(ErrStatus, "%q", text)
	case resp.Header.Get("Content-Length") != "" || resp.Header.Get("Transfer-Encoding") != "" || len(resp.TransferEncoding) > 0:
		return false, errors.Wrapf(ErrStatus, "%q with a body", text)
	default:
		return true, nil
	}
}
