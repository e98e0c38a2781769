#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

namespace cuminferry::testing {

/** Asserts in a CppUnit test that a property holds for random inputs. rapidcheck prints the
    counterexample of a failure. */
template <typename Property>
void CheckProperty(const std::string& description, Property&& property) {
  CPPUNIT_ASSERT_MESSAGE(description, rc::check(description, std::forward<Property>(property)));
}

}  // namespace cuminferry::testing
