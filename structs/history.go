package structs

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Role is the author of a message, with the values of the OpenAI chat API.
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
	// ID is the id that the model gave to the call; the message with the result repeats it.
	ID string `json:"id"`
	// Name is the tool's name; the name AgentTool starts a sub-agent.
	Name string `json:"name"`
	// Arguments is the text of a JSON object.
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

// ConversationDigest identifies a conversation by a hash over all its messages: the SHA-256 of
// the digest of the conversation before the last message and of that message. The zero value is
// the digest of an empty conversation.
type ConversationDigest [sha256.Size]byte

// ErrBadDigest means that a text is not a ConversationDigest.
var ErrBadDigest = errors.New("malformed digest")

// Append returns the digest of the conversation d with m appended. Each field is preceded by
// its length, and each tool call has three fields, so no two different messages are hashed as
// the same bytes.
func (d ConversationDigest) Append(m Message) ConversationDigest {
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
	var out ConversationDigest
	h.Sum(out[:0])
	return out
}

// AppendAll returns the digest of the conversation d with all of ms appended.
func (d ConversationDigest) AppendAll(ms []Message) ConversationDigest {
	for _, m := range ms {
		d = d.Append(m)
	}
	return d
}

// String returns the digest as hexadecimal text.
func (d ConversationDigest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d ConversationDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns ErrBadDigest, wrapped with
// the text, if the text is malformed.
func (d *ConversationDigest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.Wrapf(ErrBadDigest, "%.80q", text)
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return errors.Wrapf(ErrBadDigest, "%.80q", text)
	}
	return nil
}

// BytesPerToken is the assumed mean length of a token in bytes, from which lengths in tokens are
// estimated where no engine has counted them.
const BytesPerToken = 4

// Tokens returns the estimated number of tokens in the content and the tool calls of the
// message.
func (m Message) Tokens() int {
	n := len(m.Content)
	for _, c := range m.ToolCalls {
		n += len(c.Name) + len(c.Arguments)
	}
	return (n + BytesPerToken - 1) / BytesPerToken
}

// Tokens returns the estimated number of tokens in the content and the tool calls of a
// conversation.
func Tokens(ms []Message) int {
	n := 0
	for _, m := range ms {
		n += m.Tokens()
	}
	return n
}
