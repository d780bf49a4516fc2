set(DEPENDS marigold_relay marigold_platform_adapter marigold_node marigold_settings -Wl,--as-needed)
