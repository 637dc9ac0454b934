package preset

import (
	"encoding/json"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

const (
	// maxRowBytes bounds the row that is read back.
	maxRowBytes = 64 << 10
	// recentSwitches is the number of switches that the row remembers, so that an
	// operator whose answer was lost is found even after others switched.
	recentSwitches = 8
)

// ErrBadRow reports a row of the preset in force that can't be used.
var ErrBadRow = errors.New("malformed row of the preset in force")

// Record names one switch.
type Record struct {
	Version  uint64 `json:"version"`
	Operator string `json:"operator"`
	Nonce    string `json:"nonce"`
}

// Row is the value of the row InForceKey.
type Row struct {
	structs.PresetInForce
	// Recent are the last switches, the one in force last.
	Recent []Record `json:"recent"`
}

// next returns the row that follows r by the switch s.
func (r Row) next(s Switch) Row {
	version := r.Version + 1
	recent := append([]Record(nil), r.Recent...)
	recent = append(recent, Record{Version: version, Operator: s.Operator, Nonce: s.Nonce})
	if len(recent) > recentSwitches {
		recent = recent[len(recent)-recentSwitches:]
	}
	return Row{PresetInForce: structs.PresetInForce{Version: version, Preset: s.Preset}, Recent: recent}
}

// versionOfNonce returns the version that the switch with the nonce made, and 0 when the row
// does not know it.
func (r Row) versionOfNonce(nonce string) uint64 {
	for _, s := range r.Recent {
		if s.Nonce == nonce {
			return s.Version
		}
	}
	return 0
}

// remembers reports whether the row would still know a switch that made the version.
func (r Row) remembers(version uint64) bool {
	return len(r.Recent) > 0 && r.Recent[0].Version <= version
}

// Operator returns the operator whose switch put the preset in force.
func (r Row) Operator() string {
	if len(r.Recent) == 0 {
		return ""
	}
	return r.Recent[len(r.Recent)-1].Operator
}

// EncodeRow returns the row's value.
func EncodeRow(r Row) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrapf(err, "row of preset %q version %d", r.Preset.Name, r.Version)
}

// DecodeRow reads a row's value. It returns ErrBadRow, wrapped with the reason.
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
