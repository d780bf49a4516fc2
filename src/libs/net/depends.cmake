set(DEPENDS marigold_base event event_openssl evhtp ssl crypto jsonrpccpp-common jsonrpccpp-server jsonrpccpp-client jsoncpp)
