// Package standin holds small stand-ins for what the platform and the upstreams
// give: the transactional table, the object store, the weight store, the VM list,
// model engines, application engines and tool services. Tests and trials use them
// in-process as http.Handlers; buckthorn-standin serves them on ports.
//
// Each stand-in takes scripted faults, in-process by its Faults and over HTTP by
// POST /fault. docs/design/standin.md describes the protocols, the timing model
// and the faults. What a stand-in keeps is bounded.
package standin
