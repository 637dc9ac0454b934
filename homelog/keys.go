package homelog

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/structs"
)

// OpenPrefix starts the keys of the rows that name unsealed logs.
const OpenPrefix = "open/"

// openVersion is the version of an open row: it is written once and never again.
const openVersion int64 = 1

// OpenKey returns the key of the row that exists while the log is unsealed.
func OpenKey(log structs.LogID) string { return OpenPrefix + string(log) }

// SealKey returns the key of the row that names the successor of a sealed log.
func SealKey(log structs.LogID) string { return "seal/" + string(log) }

// CheckpointKey returns the key of the row that lists the parts of the log's checkpoint.
func CheckpointKey(log structs.LogID) string { return "checkpoint/" + string(log) }

// RecordPrefix starts the keys of the log's records.
func RecordPrefix(log structs.LogID) string { return "log/" + string(log) + "/" }

// RecordKey returns the key of the log's record number n.
func RecordKey(log structs.LogID, n uint64) string {
	return RecordPrefix(log) + fmt.Sprintf("%016x", n)
}

// batchObjectKey returns the key of the i-th object of a record's entries.
func batchObjectKey(log structs.LogID, n uint64, i int) string {
	return fmt.Sprintf("batch/%s/%016x.%d", log, n, i)
}

// partObjectKey returns the key of the i-th object of a checkpoint through a record.
func partObjectKey(log structs.LogID, through uint64, i int) string {
	return fmt.Sprintf("part/%s/%016x.%d", log, through, i)
}

// recordNumber returns the number in a record's key.
func recordNumber(log structs.LogID, key string) (uint64, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, RecordPrefix(log)), 16, 64)
	if err != nil {
		return 0, errors.Wrapf(ErrCorrupt, "record key %q", key)
	}
	return n, nil
}

// Unsealed returns the conditions under which a transaction takes effect only while
// the log is unsealed. The seal row alone is not enough, since it is deleted when the
// log's last program ends, and a paused holder may wake after that.
func Unsealed(log structs.LogID) []Condition {
	return []Condition{
		{Key: SealKey(log), Version: platform.Absent},
		{Key: OpenKey(log), Version: openVersion},
	}
}

// Seal is the value of a seal row.
type Seal struct {
	// Successor is the log that takes the programs over.
	Successor structs.LogID `json:"successor"`
	// Number is the number of the seal record.
	Number uint64 `json:"number"`
}

// DecodeSeal reads the value of a seal row; it returns ErrCorrupt.
func DecodeSeal(value []byte) (Seal, error) {
	var s Seal
	if err := json.Unmarshal(value, &s); err != nil || s.Successor == "" {
		return Seal{}, errors.Wrapf(ErrCorrupt, "seal row %.80q", value)
	}
	return s, nil
}

// Owner is the value of an open row: where the log's holder runs.
type Owner struct {
	Node   structs.NodeID        `json:"node"`
	VM     structs.VMID          `json:"vm"`
	Domain structs.FailureDomain `json:"domain"`
	// Address is where other processes reach it, and Incarnation grows with each start of
	// the node: a new process finds the others by the open rows when its seeds are gone.
	Address     string `json:"address,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// DecodeOwner reads the value of an open row; it returns ErrCorrupt.
func DecodeOwner(value []byte) (Owner, error) {
	var o Owner
	if err := json.Unmarshal(value, &o); err != nil {
		return Owner{}, errors.Wrapf(ErrCorrupt, "open row %.80q", value)
	}
	return o, nil
}

// checkpoint is the value of a checkpoint row: the records up to and including
// Through are folded into the parts, which are applied in order. Rows of records
// before Trimmed are deleted.
type checkpoint struct {
	Through uint64   `json:"through"`
	Trimmed uint64   `json:"trimmed"`
	Parts   []Object `json:"parts"`
	// version is the row's; zero says that there is none.
	version int64
}

func decodeCheckpoint(value []byte) (checkpoint, error) {
	var c checkpoint
	if err := json.Unmarshal(value, &c); err != nil {
		return checkpoint{}, errors.Wrapf(ErrCorrupt, "checkpoint row %.80q", value)
	}
	return c, nil
}

// mustJSON encodes a struct of this package, which cannot fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
