/** The promises that a soak checks. */
import {AnsweredInTime} from './invariants/answered-in-time.js';
import {ConfigurationInForce} from './invariants/configuration-in-force.js';
import {DrainedInTime} from './invariants/drained-in-time.js';
import {FewCrashes} from './invariants/few-crashes.js';
import {GracefulStop} from './invariants/graceful-stop.js';
import {NothingLeft} from './invariants/nothing-left.js';
import {OnlyWhatWasAsked} from './invariants/only-what-was-asked.js';
import {ServiceIsBack} from './invariants/service-is-back.js';
import {SingleRun} from './invariants/single-run.js';
import {TrueRefusal} from './invariants/true-refusal.js';
import {WholeAnswer} from './invariants/whole-answer.js';

export const allInvariants = [
	new SingleRun(),
	new TrueRefusal(),
	new WholeAnswer(),
	new OnlyWhatWasAsked(),
	new NothingLeft(),
	new ConfigurationInForce(),
	new DrainedInTime(),
	new GracefulStop(),
	new AnsweredInTime(),
	new ServiceIsBack(),
	new FewCrashes(),
];
