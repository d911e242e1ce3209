// Package api holds the OpenAPI documents of the platform's object API and of
// the admin API; its subpackages hold the code generated from them.
package api

//go:generate ../.bin/ogen -clean -target admin -package admin -config admin/ogen.yaml admin.yaml
