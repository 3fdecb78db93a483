package org.verbenawheel.scenarios;

import static io.cucumber.junit.platform.engine.Constants.FILTER_TAGS_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs all features except the scenarios tagged as listed in KNOWN-RED.txt. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.verbenawheel.scenarios")
@ConfigurationParameter(key = FILTER_TAGS_PROPERTY_NAME, value = "not @KnownRed")
public final class ScenariosTest {}
