package preset

import (
	"encoding/json"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

const (
	// maxRowBytes is the largest size in bytes of a row that is decoded.
	maxRowBytes = 64 << 10
	// recentSwitches is the number of switches that the row lists, so that a switch whose write
	// had no answer is found even after other operators switched.
	recentSwitches = 8
)

// ErrBadRow means that the row of the preset in force does not decode or is invalid.
var ErrBadRow = errors.New("malformed row of the preset in force")

// SwitchRecord identifies one switch.
type SwitchRecord struct {
	Version  uint64 `json:"version"`
	Operator string `json:"operator"`
	Nonce    string `json:"nonce"`
}

// Row is the value of the row InForceKey.
type Row struct {
	structs.PresetInForce
	// Recent lists the latest switches; the last one is in force.
	Recent []SwitchRecord `json:"recent"`
}

// next returns the row that the switch s makes from r.
func (r Row) next(s Switch) Row {
	version := r.Version + 1
	recent := append([]SwitchRecord(nil), r.Recent...)
	recent = append(recent, SwitchRecord{Version: version, Operator: s.Operator, Nonce: s.Nonce})
	if len(recent) > recentSwitches {
		recent = recent[len(recent)-recentSwitches:]
	}
	return Row{PresetInForce: structs.PresetInForce{Version: version, Preset: s.Preset}, Recent: recent}
}

// versionOfNonce returns the version made by the switch with the given nonce, or 0 if the row does
// not list that switch.
func (r Row) versionOfNonce(nonce string) uint64 {
	for _, s := range r.Recent {
		if s.Nonce == nonce {
			return s.Version
		}
	}
	return 0
}

// covers reports whether Recent reaches back to the given version.
func (r Row) covers(version uint64) bool {
	return len(r.Recent) > 0 && r.Recent[0].Version <= version
}

// Operator returns the operator whose switch put the preset in force, or "" if there is none.
func (r Row) Operator() string {
	if len(r.Recent) == 0 {
		return ""
	}
	return r.Recent[len(r.Recent)-1].Operator
}

// EncodeRow encodes a row's value.
func EncodeRow(r Row) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrapf(err, "row of preset %q version %d", r.Preset.Name, r.Version)
}

// DecodeRow decodes a row's value. It returns ErrBadRow, wrapped with the reason.
func DecodeRow(value []byte) (Row, error) {
	if len(value) > maxRowBytes {
		return Row{}, errors.Wrapf(ErrBadRow, "%d bytes exceed %d", len(value), maxRowBytes)
	}
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, errors.Wrapf(ErrBadRow, "%v", err)
	}
	if r.Version == 0 || r.Preset.Name == "" {
		return Row{}, errors.Wrapf(ErrBadRow, "version %d of preset %q", r.Version, r.Preset.Name)
	}
	if len(r.Recent) > recentSwitches {
		return Row{}, errors.Wrapf(ErrBadRow, "%d recent switches exceed %d", len(r.Recent), recentSwitches)
	}
	return r, nil
}
