// Package action runs one irreversible action, such as a tool call that must not be repeated,
// at most once. It decides when the request may be sent, which outcome the caller receives and
// what the action's row in the platform's table holds.
//
// Machine is a pure state machine for one attempt. Its inputs are the current time and messages
// (answers of the table and of the service, ticks, a cancel); its outputs are effects, which the
// driver of the machine carries out. Attempt numbers, row versions (0 for no row) and nonces (random,
// chosen by the driver) are integers; all times are time.Time and all waits time.Duration.
//
// The action's row is its claim. An attempt writes it in one transaction with two conditions: the
// attempt's home log is not sealed, and there is no row yet, or the row is unchanged since the
// attempt read it in the state "not run". A home log is the write-ahead log of one incarnation of an
// entry, the process that accepts and runs programs. The owner of a row is the attempt that made the
// claim, not the entry. Only the owner sends the request, and it sends it once. If the owner doesn't
// receive the outcome, it queries the service. If the service can't tell, the row records the action
// as in doubt until an operator settles it.
//
// No attempt sends its request twice, and no attempt sends a request that another attempt may have
// sent. An action that is known not to have run may be claimed and sent again. An operator who
// settles an action as not run while its request is under way can cause a second run.
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

// Aliases of the platform's types, so that embedders outside this module can use them.
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
	// Intended is the state of a claim: the owner may send the request at any time, or has sent it.
	Intended State = "intended"
	// Done means that the service ran the request; Result or Refusal holds its answer.
	Done State = "done"
	// InDoubt means that the request may have run and that its outcome is unknown.
	InDoubt State = "in_doubt"
	// NotRun means that the request was not sent, that the service refused it without running it,
	// or that an operator found that it did not run.
	NotRun State = "not_run"
)

// Owner identifies the attempt that owns an action row. No two attempts have the same Owner.
type Owner struct {
	// Log is the home log of the entry that runs the attempt.
	Log structs.LogID `json:"log"`
	// Call is the call of the tool request.
	Call structs.CallID `json:"call"`
	// Attempt is the number of the attempt in the tool request.
	Attempt uint32 `json:"attempt"`
	// Nonce is a random number that makes the Owner unique.
	Nonce uint64 `json:"nonce"`
}

// Row is the value of an action's row in the platform's table.
type Row struct {
	Organisation structs.OrganisationID `json:"organisation"`
	Key          string                 `json:"key"`
	Program      structs.ProgramID      `json:"program,omitempty"`
	Tool         string                 `json:"tool"`
	Arguments    string                 `json:"arguments"`
	// Payload is a hash of the tool and the arguments.
	Payload string `json:"payload"`
	Owner   Owner  `json:"owner"`
	State   State  `json:"state"`
	Result  string `json:"result,omitempty"`
	// Refusal is the error with which the service answered a request that it ran.
	Refusal *structs.Refusal `json:"refusal,omitempty"`
	// Detail is the reason for the state.
	Detail string `json:"detail,omitempty"`
	// SettledBy is the operator who settled the action.
	SettledBy string    `json:"settled_by,omitempty"`
	Created   time.Time `json:"created"`
	Changed   time.Time `json:"changed"`
}

// ErrBadRow means that the value of an action row does not decode.
var ErrBadRow = errors.New("malformed action row")

// Prefixes of the table keys of action rows and of the index rows of unresolved actions.
const (
	rowPrefix        = "action/"
	unresolvedPrefix = "action-in-doubt/"
)

// rowKeySuffix returns the part of an action's row keys after the prefix.
func rowKeySuffix(org structs.OrganisationID, key string) string {
	return url.PathEscape(string(org)) + "/" + url.PathEscape(key)
}

// KeyOf returns the key of an action within its organisation: the call id for the step of a
// program, else the idempotency key of the caller who made the request directly. The two kinds have
// different prefixes, so that a caller's key and a program's step never share a row.
func KeyOf(r structs.ToolRequest) string {
	if r.Program != "" {
		return "step:" + string(r.Call)
	}
	return "key:" + r.Key
}

// RowKey returns the table key of an action row.
func RowKey(org structs.OrganisationID, key string) string { return rowPrefix + rowKeySuffix(org, key) }

// StepPrefix returns the prefix of the row keys of a program's steps.
func StepPrefix(org structs.OrganisationID, id structs.ProgramID) string {
	return RowKey(org, "step:"+string(id)+"/")
}

// RowPrefix is the prefix of all action rows.
const RowPrefix = rowPrefix

// DeleteResolved returns a transaction that deletes the rows that hold the final outcome of their
// action and last changed earlier than before, and the number of these rows. It returns ErrBadRow
// if a row does not decode.
func DeleteResolved(rows []TableRow, before time.Time) (Txn, int, error) {
	var txn Txn
	for _, at := range rows {
		row, err := DecodeRow(at.Value)
		if err != nil {
			return Txn{}, 0, errors.Wrapf(err, "row %q", at.Key)
		}
		if !row.resolved() || !row.Changed.Before(before) {
			continue
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: at.Key, Version: at.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: at.Key, Delete: true})
	}
	return txn, len(txn.Writes), nil
}

// UnresolvedPrefix is the prefix of the index rows of unresolved actions, those whose final
// outcome is not recorded.
const UnresolvedPrefix = unresolvedPrefix

// UnresolvedKey returns the table key of the index row of an unresolved action.
func UnresolvedKey(org structs.OrganisationID, key string) string {
	return unresolvedPrefix + rowKeySuffix(org, key)
}

// RowKeyOfUnresolved returns the table key of the action row that an index row refers to. The key of
// the index row must begin with UnresolvedPrefix.
func RowKeyOfUnresolved(unresolvedKey string) string {
	return rowPrefix + unresolvedKey[len(unresolvedPrefix):]
}

// payloadHash returns a hash of a request's tool and arguments, in hexadecimal. It tells whether two
// requests with one key are the same.
func payloadHash(r structs.ToolRequest) string {
	h := sha256.New()
	h.Write([]byte(r.Name))
	h.Write([]byte{0})
	h.Write([]byte(r.Arguments))
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// DecodeRow decodes the value of an action row. It returns ErrBadRow, wrapped with the reason.
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

// encode returns the row's value. It never fails: JSON can represent every value that a row holds.
func (r Row) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "action row"))
	}
	return value
}

// resolved reports whether the row holds the final outcome of the action.
func (r Row) resolved() bool { return r.State == Done || r.State == NotRun }

// replaceTxn returns the transaction that replaces the row, if it has the given version, and
// updates its index row.
func (r Row) replaceTxn(version int64) Txn {
	key := RowKey(r.Organisation, r.Key)
	index := platform.Write{Key: UnresolvedKey(r.Organisation, r.Key), Value: []byte(r.State)}
	if r.resolved() {
		index = platform.Write{Key: index.Key, Delete: true}
	}
	return Txn{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: r.encode()}, index},
	}
}

// claimTxn returns the transaction that gives the row's owner the right to send the request.
func (r Row) claimTxn(version int64) Txn {
	txn := r.replaceTxn(version)
	txn.Conditions = append(txn.Conditions, homelog.Unsealed(r.Owner.Log)...)
	return txn
}

// SealKey returns the table key of the row that marks a home log as sealed.
func SealKey(log structs.LogID) string { return homelog.SealKey(log) }

// Settle returns the transaction by which an operator settles an unresolved action, and the row
// that it writes. The transaction takes effect only if the row still has the version of at. With ran
// the action becomes done with the given result, without it not run. Settle returns a refusal with
// the code conflict if the action is already resolved, or ErrBadRow.
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
	return row.replaceTxn(at.Version), row, nil
}
