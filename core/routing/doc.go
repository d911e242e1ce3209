// Package routing decides which host owns an endpoint, which endpoint serves a read, and
// whether a failed request is retried.
//
// The owner and the standby of an endpoint follow by rendezvous hashing from the live
// hosts, so that all hosts with the same view agree without messages. ChooseReadEndpoint
// takes what a frontend knows about the endpoints of a database and the requirements of
// the read. DecideRetry takes the outcome of an attempt, and a RetryBudget bounds the
// retries. Classify finds out from the text of a statement whether it reads or writes.
package routing
