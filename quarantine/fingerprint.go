package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// minContentBytes is the content that a fingerprint covers at least, so that short
// messages such as "yes" are told apart by what precedes them.
const minContentBytes = 256

// Fingerprint identifies a request by its content: the same request has the same
// fingerprint under any key, program or organisation.
type Fingerprint [16]byte

// ErrBadFingerprint reports text that is not a fingerprint.
var ErrBadFingerprint = errors.New("malformed fingerprint")

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; it returns ErrBadFingerprint.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(f) {
		return errors.Wrapf(ErrBadFingerprint, "%.80q", text)
	}
	if _, err := hex.Decode(f[:], text); err != nil {
		return errors.Wrapf(ErrBadFingerprint, "%.80q", text)
	}
	return nil
}

// FingerprintOf returns the fingerprint of a call to the model with the conversation: of the
// last user's message, all that follows it, and as much before it as makes up
// minContentBytes. The ids of tool calls are left out, as they differ in each run.
func FingerprintOf(model string, conversation []structs.Message) Fingerprint {
	h := sha256.New()
	write := func(text string) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(text)))
		h.Write(n[:])
		h.Write([]byte(text))
	}
	write(model)
	for _, m := range tail(conversation) {
		write(string(m.Role))
		write(m.Content)
		for _, c := range m.ToolCalls {
			write(c.Name)
			write(c.Arguments)
		}
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// tail returns the end of the conversation that a fingerprint covers.
func tail(conversation []structs.Message) []structs.Message {
	covered, user := 0, false
	for i := len(conversation) - 1; i >= 0; i-- {
		covered += len(conversation[i].Content)
		user = user || conversation[i].Role == structs.RoleUser
		if user && covered >= minContentBytes {
			return conversation[i:]
		}
	}
	return conversation
}
