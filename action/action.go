// Package action runs one irreversible action at most once, as a pure state machine.
//
// The action's row in the platform's table is its claim. It is created in one transaction
// on the condition that no such row exists and that the owner's home log is not sealed.
// Only the owner that the row names sends the request, and sends it once. An outcome that
// the owner did not see is asked of the service; when the service cannot tell, the row says
// that the action is in doubt until an operator settles it. Nothing is ever sent twice.
package action

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// Names of the platform's types, so that embedders outside this module can use them.
type (
	// TableRow is one row of the platform's table.
	TableRow = platform.Row
	// Txn is one transaction of the platform's table.
	Txn = platform.Txn
)

// State is the state of an action row.
type State string

// States of an action row.
const (
	// Intended: the owner may send the request at any time, or has sent it.
	Intended State = "intended"
	// Done: the service ran the request; Result or Refusal holds what it answered.
	Done State = "done"
	// InDoubt: the request may have run; nobody knows.
	InDoubt State = "in_doubt"
	// NotRun: the request was not sent, or an operator found that it did not run.
	NotRun State = "not_run"
)

// Owner names the attempt that holds an action row. No two attempts are equal.
type Owner struct {
	Log     structs.LogID  `json:"log"`
	Call    structs.CallID `json:"call"`
	Attempt uint32         `json:"attempt"`
	Nonce   uint64         `json:"nonce"`
}

// Row is the value of an action row.
type Row struct {
	Organisation structs.OrganisationID `json:"organisation"`
	Key          string                 `json:"key"`
	Program      structs.ProgramID      `json:"program,omitempty"`
	Tool         string                 `json:"tool"`
	Arguments    string                 `json:"arguments"`
	// Payload identifies the tool and the arguments.
	Payload string `json:"payload"`
	Owner   Owner  `json:"owner"`
	State   State  `json:"state"`
	Result  string `json:"result,omitempty"`
	// Refusal is the service's own error of a request that ran.
	Refusal *structs.Refusal `json:"refusal,omitempty"`
	// Detail says why the state is what it is.
	Detail string `json:"detail,omitempty"`
	// SettledBy is the operator who settled the action.
	SettledBy string    `json:"settled_by,omitempty"`
	Created   time.Time `json:"created"`
	Changed   time.Time `json:"changed"`
}

// ErrBadRow reports a row that does not decode.
var ErrBadRow = errors.New("malformed action row")

const (
	rowPrefix  = "action/"
	openPrefix = "action-in-doubt/"
)

// rowName is the part of an action's row keys behind the prefix. A caller's key and a
// program's step never share a name.
func rowName(org structs.OrganisationID, key string) string {
	return url.PathEscape(string(org)) + "/" + url.PathEscape(key)
}

// KeyOf returns the key of an action within its organisation: the caller's idempotency
// key for a direct request, else the program's step.
func KeyOf(r structs.ToolRequest) string {
	if r.Program != "" {
		return "step:" + string(r.Call)
	}
	return "key:" + r.Key
}

// RowKey returns the table key of an action row.
func RowKey(org structs.OrganisationID, key string) string { return rowPrefix + rowName(org, key) }

// StepPrefix returns the prefix of the row keys of a program's steps.
func StepPrefix(org structs.OrganisationID, id structs.ProgramID) string {
	return RowKey(org, "step:"+string(id)+"/")
}

// Prefix is the prefix of all action rows.
const Prefix = rowPrefix

// DeleteResolved returns the transaction that deletes those of the rows that hold the end of their
// action and did not change at or after before, and their number. It returns ErrBadRow.
func DeleteResolved(rows []TableRow, before time.Time) (Txn, int, error) {
	var txn Txn
	for _, at := range rows {
		row, err := DecodeRow(at.Value)
		if err != nil {
			return Txn{}, 0, errors.Wrapf(err, "row %q", at.Key)
		}
		if !row.ended() || !row.Changed.Before(before) {
			continue
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: at.Key, Version: at.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: at.Key, Delete: true})
	}
	return txn, len(txn.Writes), nil
}

// UnresolvedPrefix is the prefix of the index rows of actions whose end is not recorded.
const UnresolvedPrefix = openPrefix

// UnresolvedKey returns the table key of the index row of an action whose end is not recorded.
func UnresolvedKey(org structs.OrganisationID, key string) string {
	return openPrefix + rowName(org, key)
}

// RowKeyOfUnresolved returns the table key of the action row that an index row stands for.
func RowKeyOfUnresolved(openKey string) string { return rowPrefix + openKey[len(openPrefix):] }

// payloadOf identifies a request's tool and arguments.
func payloadOf(r structs.ToolRequest) string {
	h := sha256.New()
	h.Write([]byte(r.Name))
	h.Write([]byte{0})
	h.Write([]byte(r.Arguments))
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// DecodeRow reads the value of an action row; it returns ErrBadRow.
func DecodeRow(value []byte) (Row, error) {
	var row Row
	if err := json.Unmarshal(value, &row); err != nil {
		return Row{}, errors.Wrapf(ErrBadRow, "%v", err)
	}
	switch row.State {
	case Intended, Done, InDoubt, NotRun:
		return row, nil
	}
	return Row{}, errors.Wrapf(ErrBadRow, "state %q", row.State)
}

// encode never fails: a row holds no value that JSON cannot carry.
func (r Row) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "action row"))
	}
	return value
}

// ended reports whether the row holds the end of the action.
func (r Row) ended() bool { return r.State == Done || r.State == NotRun }

// put returns the transaction that replaces the row of the given version, with its index row.
func (r Row) put(version int64) Txn {
	key := RowKey(r.Organisation, r.Key)
	index := platform.Write{Key: UnresolvedKey(r.Organisation, r.Key), Value: []byte(r.State)}
	if r.ended() {
		index = platform.Write{Key: index.Key, Delete: true}
	}
	return Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: r.encode()}, index},
	}
}

// claim returns the transaction that makes the row's owner the one that may send the request.
func (r Row) claim(version int64) Txn {
	txn := r.put(version)
	txn.Conditions = append(txn.Conditions, homelog.Unsealed(r.Owner.Log)...)
	return txn
}

// SealKey returns the table key of the row that seals a home log.
func SealKey(log structs.LogID) string { return homelog.SealKey(log) }

// Settle returns the transaction by which an operator settles an action in doubt, and the row
// that it writes. It refuses with conflict when the action is not in doubt.
func Settle(now time.Time, at TableRow, operator string, ran bool, result string) (Txn, Row, error) {
	row, err := DecodeRow(at.Value)
	if err != nil {
		return Txn{}, Row{}, err
	}
	if row.State != InDoubt && row.State != Intended {
		return Txn{}, Row{}, structs.Refusalf(structs.CodeConflict, structs.OutcomeNotRun, "settle action",
			"action %q of %q is %s, not in doubt", row.Key, row.Organisation, row.State)
	}
	row.State, row.Result = NotRun, ""
	if ran {
		row.State, row.Result = Done, result
	}
	row.SettledBy, row.Changed = operator, now
	row.Detail = "settled by operator"
	return row.put(at.Version), row, nil
}
