package resume

import "encoding/json"

// Row is what the table's row of a service states about the versions at which streams may have begun.
// The zero value is that of a row that does not exist.
type Row struct {
	// Version is the table's version of the row; 0 if there is none.
	Version int64
	// Named is the version of the upstreams' software that is the only one at which streams began.
	Named string
	// Prepared is the version that an entry is about to name. A row that neither names nor prepares a
	// version is withdrawn: streams may have begun at any.
	Prepared string
	// Routes stands for the routes that led to the service when the row was written. It is empty in rows
	// of earlier builds.
	Routes string
}

// rowValue is the value of a row in the table. Earlier builds wrote the bare text of the named version.
type rowValue struct {
	State   string `json:"state"`
	Version string `json:"version,omitempty"`
	Routes  string `json:"routes,omitempty"`
}

const (
	stateNamed     = "named"
	statePrepared  = "prepared"
	stateWithdrawn = "withdrawn"
	// preparedUnknown is prepared by a row that can't be read. No upstream has this version, so every
	// version needs the row to be withdrawn first.
	preparedUnknown = "\x00"
)

// DecodeRow returns what the value of a row of the version states.
func DecodeRow(value []byte, version int64) Row {
	r := Row{Version: version}
	if len(value) == 0 || value[0] != '{' {
		r.Named = string(value)
		return r
	}
	var v rowValue
	if err := json.Unmarshal(value, &v); err != nil {
		v = rowValue{}
	}
	r.Routes = v.Routes
	switch {
	case v.State == stateNamed && v.Version != "":
		r.Named = v.Version
	case v.State == statePrepared && v.Version != "":
		r.Prepared = v.Version
	case v.State != stateWithdrawn:
		r.Prepared = preparedUnknown
	}
	return r
}

// Encode returns the value of the row.
func (r Row) Encode() ([]byte, error) {
	v := rowValue{State: stateWithdrawn}
	switch {
	case r.Named != "":
		v = rowValue{State: stateNamed, Version: r.Named, Routes: r.Routes}
	case r.Prepared != "":
		v = rowValue{State: statePrepared, Version: r.Prepared, Routes: r.Routes}
	}
	return json.Marshal(v)
}

// states reports whether two rows state the same, whatever their versions.
func (r Row) states(other Row) bool {
	r.Version, other.Version = 0, 0
	return r == other
}

// clears reports whether streams may begin at a version after this row was read, given that the version
// was registered before and alone says that the reader has seen no other version.
func (r Row) clears(version string, alone bool) bool {
	switch {
	case r.Named != "":
		return r.Named == version
	case r.Prepared != "":
		return r.Prepared == version
	default:
		return r.Version > 0 || alone
	}
}
