// Package workload generates the seeded workloads of the two deployments and drives
// them against a System with open-loop arrivals: a program starts at its intended
// moment however slow the system is, and its latency counts from that moment.
//
// All times of a workload are modelled time; a run divides them by its speed.
package workload
