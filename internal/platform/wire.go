package platform

import "github.com/buckthornroute/buckthornroute/structs"

// ErrorCode is the code in an error response of the platform.
type ErrorCode string

// Error codes of the platform. After an error response without a code, the outcome of
// a write can be unknown.
const (
	CodeConditionFailed ErrorCode = "condition_failed"
	CodeNotFound        ErrorCode = "not_found"
	CodeNotApplied      ErrorCode = "not_applied"
)

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Code   ErrorCode `json:"code"`
	Detail string    `json:"detail"`
}

// ScanResponse is the response body of GET /table/scan.
type ScanResponse struct {
	Rows []Row `json:"rows"`
}

// VMsResponse is the response body of GET /vms.
type VMsResponse struct {
	VMs []VM `json:"vms"`
}

// FetchRequest is the request body of POST /weights/fetch.
type FetchRequest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// FetchResponse is the response body of POST /weights/fetch.
type FetchResponse struct {
	Bytes int64 `json:"bytes"`
}

// VMChange is the request body of POST /vms, with which tests change the state of a VM.
type VMChange struct {
	ID      structs.VMID          `json:"id"`
	Domain  structs.FailureDomain `json:"domain"`
	State   VMState               `json:"state"`
	Address string                `json:"address"`
}
