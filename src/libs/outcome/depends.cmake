set(DEPENDS marigold_base marigold_platform)
