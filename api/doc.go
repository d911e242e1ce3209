// Package api holds the OpenAPI document of the admin API; its subpackage holds the
// code generated from it.
package api

//go:generate ../.bin/ogen -clean -target admin -package admin -config admin/ogen.yaml admin.yaml
