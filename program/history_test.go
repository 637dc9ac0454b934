package program

import (
	"testing"

	"github.com/buckthornroute/buckthornroute/structs"
)

// TestHistoryDoesNotGrow checks that a history that was handed out holds the same messages after the
// machine has extended and compressed its own.
func TestHistoryDoesNotGrow(t *testing.T) {
	var h history
	message := func(text string) structs.Message { return structs.Message{Role: structs.RoleUser, Content: text} }
	h.append(message("first"), message("second"))
	h.compress()
	handedOut := History{view: h}
	h.append(message("third"))
	h.compress()
	ms, err := handedOut.Messages()
	if err != nil {
		t.Fatal(err)
	}
	if len(ms) != 2 || ms[1].Content != "second" {
		t.Errorf("%v, want the 2 messages of then", ms)
	}
}
