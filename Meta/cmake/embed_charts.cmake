# embed_chart(TARGET FILE SYMBOL) compiles the text of FILE into TARGET as `const char SYMBOL[]`
# in namespace sassafrasbay::charts. The program is deployed as one binary, so its charts are compiled in.
function(embed_chart target file symbol)
  file(READ ${CMAKE_CURRENT_SOURCE_DIR}/${file} CHART_TEXT)
  set(CHART_SYMBOL ${symbol})
  set(output ${CMAKE_CURRENT_BINARY_DIR}/${symbol}.cc)
  configure_file(${PROJECT_SOURCE_DIR}/Meta/cmake/embedded_chart.cc.in ${output} @ONLY)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${file})
  target_sources(${target} PRIVATE ${output})
endfunction()
