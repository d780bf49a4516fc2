set(DEPENDS marigold_operate marigold_settings event)
