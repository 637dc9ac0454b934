package platform

import "github.com/buckthornroute/buckthornroute/structs"

// ErrorCode is the code of an answer of the platform that is not a success.
type ErrorCode string

// Codes of the platform. An answer without one leaves the outcome of a write unknown.
const (
	CodeConditionFailed ErrorCode = "condition_failed"
	CodeNotFound        ErrorCode = "not_found"
	CodeNotApplied      ErrorCode = "not_applied"
)

// ErrorBody is the body of an answer that is not a success.
type ErrorBody struct {
	Code   ErrorCode `json:"code"`
	Detail string    `json:"detail"`
}

// ScanResponse is the answer of GET /table/scan.
type ScanResponse struct {
	Rows []Row `json:"rows"`
}

// VMsResponse is the answer of GET /vms.
type VMsResponse struct {
	VMs []VM `json:"vms"`
}

// FetchRequest is the body of POST /weights/fetch.
type FetchRequest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// FetchResponse is the answer of POST /weights/fetch.
type FetchResponse struct {
	Bytes int64 `json:"bytes"`
}

// VMChange is the body of POST /vms, by which tests change the true list.
type VMChange struct {
	ID      structs.VMID          `json:"id"`
	Domain  structs.FailureDomain `json:"domain"`
	State   VMState               `json:"state"`
	Address string                `json:"address"`
}
