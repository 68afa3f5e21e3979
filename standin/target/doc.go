// Package target is a test stand-in for the back-end server of one service.
//
// A request may contain a fault mark in its query or body: standin-fault=KIND acts at the first target, and
// standin-fault=KIND@SERVICE is passed on to inner calls and acts at the targets of SERVICE. Tests change the
// behaviour at run time with POST /admin/controls and read GET /admin/journal and GET /admin/stats.
package target
