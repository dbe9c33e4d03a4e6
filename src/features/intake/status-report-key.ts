/** Service key of the status report. */
import {ServiceKey} from '../../runtime/kernel/service-key.js';
import type {StatusReport} from './status-report.js';

/** Registered by the wiring module, since every feature may add a section. */
export const statusReportKey = new ServiceKey<StatusReport>('status-report');
