// Package workload generates seeded workloads of the two sample deployments and runs them
// against a System with open-loop arrivals: a program starts at its intended time, however
// slow the system is, and its latency counts from that time.
//
// All times of a workload are modelled. A run multiplies them by its time scale to get real
// times.
package workload
