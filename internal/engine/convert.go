package engine

import "github.com/buckthornroute/buckthornroute/structs"

// ToChat converts messages to the OpenAI form.
func ToChat(messages []structs.Message) []ChatMessage {
	out := make([]ChatMessage, len(messages))
	for i, m := range messages {
		out[i] = ChatMessage{Role: string(m.Role), Content: m.Content, ToolCallID: m.ToolCallID}
		for n, c := range m.ToolCalls {
			out[i].ToolCalls = append(out[i].ToolCalls, ChatToolCall{
				Index:    n,
				ID:       c.ID,
				Type:     "function",
				Function: ChatFunction{Name: c.Name, Arguments: c.Arguments},
			})
		}
	}
	return out
}

// FromChat converts messages from the OpenAI form.
func FromChat(messages []ChatMessage) []structs.Message {
	out := make([]structs.Message, len(messages))
	for i, m := range messages {
		out[i] = structs.Message{Role: structs.Role(m.Role), Content: m.Content, ToolCallID: m.ToolCallID}
		for _, c := range m.ToolCalls {
			out[i].ToolCalls = append(out[i].ToolCalls, fromChatCall(c))
		}
	}
	return out
}

func fromChatCall(c ChatToolCall) structs.ToolCall {
	return structs.ToolCall{ID: c.ID, Name: c.Function.Name, Arguments: c.Function.Arguments}
}
