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

// OpenPrefix is the key prefix of the open rows, one for each unsealed log.
const OpenPrefix = "open/"

// openVersion is the version of every open row, since the row is written only once.
const openVersion int64 = 1

// OpenKey returns the key of the row that exists while the log is unsealed.
func OpenKey(log structs.LogID) string { return OpenPrefix + string(log) }

// SealKey returns the key of the seal row, which names the successor of a sealed log and
// redirects callers to it.
func SealKey(log structs.LogID) string { return "seal/" + string(log) }

// CheckpointKey returns the key of the row that lists the parts of the log's checkpoint.
func CheckpointKey(log structs.LogID) string { return "checkpoint/" + string(log) }

// RecordPrefix returns the key prefix of the log's records.
func RecordPrefix(log structs.LogID) string { return "log/" + string(log) + "/" }

// RecordKey returns the key of the log's record number n.
func RecordKey(log structs.LogID, n uint64) string {
	return RecordPrefix(log) + fmt.Sprintf("%016x", n)
}

// batchObjectKey returns the key of the i-th object that holds entries of record n.
func batchObjectKey(log structs.LogID, n uint64, i int) string {
	return fmt.Sprintf("batch/%s/%016x.%d", log, n, i)
}

// partObjectKey returns the key of the i-th object written by the checkpoint of the records
// up to and including through.
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

// Unsealed returns the conditions that let a transaction take effect only while the log is
// unsealed. The absence of the seal row alone is not enough, since the row is deleted some
// time after the log's last program has ended, and a paused owner may resume after that.
func Unsealed(log structs.LogID) []Condition {
	return []Condition{
		{Key: SealKey(log), Version: platform.Absent},
		{Key: OpenKey(log), Version: openVersion},
	}
}

// Seal is the value of a seal row.
type Seal struct {
	// Successor is the log whose owner takes the programs over.
	Successor structs.LogID `json:"successor"`
	// Number is the number of the seal record.
	Number uint64 `json:"number"`
}

// DecodeSeal decodes the value of a seal row. It returns ErrCorrupt for a malformed one.
func DecodeSeal(value []byte) (Seal, error) {
	var s Seal
	if err := json.Unmarshal(value, &s); err != nil || s.Successor == "" {
		return Seal{}, errors.Wrapf(ErrCorrupt, "seal row %.80q", value)
	}
	return s, nil
}

// Owner is the value of an open row. It describes where the log's owner runs.
type Owner struct {
	Node   structs.NodeID        `json:"node"`
	VM     structs.VMID          `json:"vm"`
	Domain structs.FailureDomain `json:"domain"`
	// Address is where other processes reach the owner, and Incarnation increases with each
	// start of the node. With them a new process finds the others from the open rows when
	// its configured peers are gone.
	Address     string `json:"address,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// DecodeOwner decodes the value of an open row. It returns ErrCorrupt for a malformed one.
func DecodeOwner(value []byte) (Owner, error) {
	var o Owner
	if err := json.Unmarshal(value, &o); err != nil {
		return Owner{}, errors.Wrapf(ErrCorrupt, "open row %.80q", value)
	}
	return o, nil
}

// checkpoint is the value of a checkpoint row. The records up to and including Through are
// folded into the parts, whose entries are applied in order. The rows of the records before
// Trimmed are deleted.
type checkpoint struct {
	Through uint64   `json:"through"`
	Trimmed uint64   `json:"trimmed"`
	Parts   []Object `json:"parts"`
	// version is the version of the row; 0 means that there is no row.
	version int64
}

// decodeCheckpoint decodes the value of a checkpoint row.
func decodeCheckpoint(value []byte) (checkpoint, error) {
	var c checkpoint
	if err := json.Unmarshal(value, &c); err != nil {
		return checkpoint{}, errors.Wrapf(ErrCorrupt, "checkpoint row %.80q", value)
	}
	return c, nil
}

// mustJSON encodes a row value of this package, whose encoding cannot fail.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
