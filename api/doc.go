// Package api holds the OpenAPI documents of the platform's object API and of
// the admin API; its subpackages hold the code generated from them.
package api
