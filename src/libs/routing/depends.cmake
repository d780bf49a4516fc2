set(DEPENDS marigold_base fmt)
# A decision has a budget of 20 us at 1,200 targets, and admission runs once a request.
set_source_files_properties(${CMAKE_CURRENT_LIST_DIR}/router.cpp ${CMAKE_CURRENT_LIST_DIR}/target_table.cpp
    ${CMAKE_CURRENT_LIST_DIR}/cost_model.cpp PROPERTIES COMPILE_OPTIONS "-O2")
