// Package routing decides which host owns an endpoint, which endpoint serves a read, and
// whether a failed request is retried.
package routing
