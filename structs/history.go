package structs

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Role is the author of a conversation message, in OpenAI chat terms.
type Role string

// Roles of messages.
const (
	RoleSystem    Role = "system"
	RoleUser      Role = "user"
	RoleAssistant Role = "assistant"
	RoleTool      Role = "tool"
)

// ToolCall is a model's request to run a tool or a sub-agent.
type ToolCall struct {
	// ID is the model's own id of the call; the tool message echoes it.
	ID string `json:"id"`
	// Name is the tool's name; AgentTool starts a sub-agent.
	Name string `json:"name"`
	// Arguments is a JSON object as text.
	Arguments string `json:"arguments"`
}

// AgentTool is the tool name with which a model starts a sub-agent. Its arguments
// are {"task": "..."}; its result is the sub-agent's answer.
const AgentTool = "agent"

// Message is one message of a conversation.
type Message struct {
	Role       Role       `json:"role"`
	Content    string     `json:"content"`
	ToolCalls  []ToolCall `json:"tool_calls,omitempty"`
	ToolCallID string     `json:"tool_call_id,omitempty"`
}

// Digest identifies a conversation up to and including one message:
// the SHA-256 of the digest before it and the message.
type Digest [sha256.Size]byte

// ErrBadDigest reports text that is not a digest.
var ErrBadDigest = errors.New("malformed digest")

// Append returns the digest of the conversation d with m appended.
// Each field is preceded by its length, so that no two messages encode alike.
func (d Digest) Append(m Message) Digest {
	h := sha256.New()
	h.Write(d[:])
	write := func(s string) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	write(string(m.Role))
	write(m.Content)
	write(m.ToolCallID)
	for _, c := range m.ToolCalls {
		write(c.ID)
		write(c.Name)
		write(c.Arguments)
	}
	var out Digest
	h.Sum(out[:0])
	return out
}

// AppendAll returns the digest of the conversation d with all of ms appended.
func (d Digest) AppendAll(ms []Message) Digest {
	for _, m := range ms {
		d = d.Append(m)
	}
	return d
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; it returns ErrBadDigest.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.Wrapf(ErrBadDigest, "%.80q", text)
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return errors.Wrapf(ErrBadDigest, "%.80q", text)
	}
	return nil
}

// BytesPerToken is the mean length of a token by which prompts are estimated
// before an engine has counted them.
const BytesPerToken = 4

// Tokens estimates the message's length in tokens.
func (m Message) Tokens() int {
	n := len(m.Content)
	for _, c := range m.ToolCalls {
		n += len(c.Name) + len(c.Arguments)
	}
	return (n + BytesPerToken - 1) / BytesPerToken
}

// Tokens estimates the conversation's length in tokens.
func Tokens(ms []Message) int {
	n := 0
	for _, m := range ms {
		n += m.Tokens()
	}
	return n
}
