set(DEPENDS marigold_context)
