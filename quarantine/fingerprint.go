package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// minContentBytes is the least number of bytes of message content that a fingerprint covers, unless
// the whole conversation is shorter. It distinguishes short messages such as "yes" by the
// messages before them.
const minContentBytes = 256

// Fingerprint identifies a request by its content: a request that is sent again has the
// same fingerprint whatever its key, program or organisation.
type Fingerprint [16]byte

// ErrBadFingerprint is returned for text that is not a fingerprint.
var ErrBadFingerprint = errors.New("malformed fingerprint")

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns ErrBadFingerprint for
// malformed text.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(f) {
		return errors.Wrapf(ErrBadFingerprint, "%.80q", text)
	}
	if _, err := hex.Decode(f[:], text); err != nil {
		return errors.Wrapf(ErrBadFingerprint, "%.80q", text)
	}
	return nil
}

// FingerprintOf returns the fingerprint of a call to a model with a conversation. It covers the last
// message of the user, all messages after it, and as many before it as are needed to reach
// minContentBytes. The IDs of tool calls are left out, because they differ in each run.
func FingerprintOf(model string, conversation []structs.Message) Fingerprint {
	h := sha256.New()
	// The length before each text keeps different sequences of texts with the same
	// concatenation apart.
	write := func(text string) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(text)))
		h.Write(n[:])
		h.Write([]byte(text))
	}
	write(model)
	for _, m := range coveredMessages(conversation) {
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

// coveredMessages returns the end of the conversation that a fingerprint covers.
func coveredMessages(conversation []structs.Message) []structs.Message {
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
