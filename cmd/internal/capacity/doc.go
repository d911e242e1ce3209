// Package capacity measures the cost of a host's roles at several fleet sizes. It runs
// the state machines of core in virtual time. It compares their network traffic, CPU
// time, memory and platform requests with the budgets.
package capacity
