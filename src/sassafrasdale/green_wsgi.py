"""WSGI server of eventlet, in a separate module that gateways don't import."""

import eventlet.wsgi

WsgiProtocol = eventlet.wsgi.HttpProtocol
serve_wsgi = eventlet.wsgi.server
