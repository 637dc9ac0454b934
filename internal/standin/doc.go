// Package standin implements stand-ins (test doubles) of the services that the
// product depends on: the platform's transactional table, object store, weight store
// and VM list, and the upstreams, which are model engines, application engines and
// tool services. Tests and trials use them in-process as http.Handlers;
// buckthorn-standin serves them on ports.
//
// Each stand-in can inject scripted faults. They are set in-process through its
// Faults field and over HTTP by POST /fault. docs/design/standin.md describes the
// protocols, the timing model and the faults. Tables, logs, queues and caches of a
// stand-in have size limits.
package standin
