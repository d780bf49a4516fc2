set(DEPENDS marigold_base marigold_net fmt)
