/** All invariants that a soak checks. */
import {TimelyAnswer} from './invariants/timely-answer.js';
import {ConfigurationPropagation} from './invariants/configuration-propagation.js';
import {TimelyDrain} from './invariants/timely-drain.js';
import {CrashLimit} from './invariants/crash-limit.js';
import {GracefulShutdown} from './invariants/graceful-shutdown.js';
import {CleanTermination} from './invariants/clean-termination.js';
import {RequestedTasksOnly} from './invariants/requested-tasks-only.js';
import {ServiceRecovery} from './invariants/service-recovery.js';
import {SingleExecution} from './invariants/single-execution.js';
import {AccurateRejection} from './invariants/accurate-rejection.js';
import {AccurateAnswer} from './invariants/accurate-answer.js';

export const allInvariants = [
	new SingleExecution(),
	new AccurateRejection(),
	new AccurateAnswer(),
	new RequestedTasksOnly(),
	new CleanTermination(),
	new ConfigurationPropagation(),
	new TimelyDrain(),
	new GracefulShutdown(),
	new TimelyAnswer(),
	new ServiceRecovery(),
	new CrashLimit(),
];
