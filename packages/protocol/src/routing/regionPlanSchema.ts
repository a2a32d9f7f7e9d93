import { z } from 'zod';

/**
 * Schemas of the region plan: which share of the calls of each region runs in which region, for each
 * service. The leader of the control group makes it from what all entry hosts report, and all entry
 * hosts follow it. Unknown fields are ignored, so that hosts of different versions can exchange plans.
 */

/** Share of each region of backend servers; the shares add up to 1. */
export const regionSharesSchema = z.record(z.string(), z.number().min(0));

/** Where the calls of one region run, for one service. */
export const regionSplitSchema = z.object({
  service: z.string(),
  callerRegion: z.string().describe('Region of the entry hosts that take the calls.'),
  shares: regionSharesSchema,
});

export const regionPlanSchema = z.object({
  issue: z.number().min(0).describe('Grows with each plan; hosts keep the plan with the highest.'),
  splits: z.array(regionSplitSchema),
});

/** Calls of one region and service since the last report, and the loads that answers have told. */
export const regionDemandSchema = z.object({
  service: z.string(),
  callerRegion: z.string(),
  offeredCalls: z.number().min(0).describe('New calls, whether they were placed or not.'),
  runs: z.record(z.string(), z.number().min(0)).describe('Calls placed, by region.'),
  loads: z
    .record(z.string(), z.object({ calls: z.number().min(0), slots: z.number().min(0) }))
    .describe('Calls at the backend servers that reported recently, and their slots, by region.'),
  activeObjects: z.number().min(0).describe('Distinct objects of recent calls of one host.'),
});

/** A report of demand, and the plan that its sender holds. */
export const demandReportSchema = z.object({
  heldIssue: z.number().min(0).describe('0 if the sender holds no plan.'),
  isForwarded: z
    .boolean()
    .describe('Whether a control host sends what other hosts reported to it.'),
  demand: z.array(regionDemandSchema),
  plan: regionPlanSchema.optional().describe('The plan held, if the receiver has asked for it.'),
});

/** Answer to a report. */
export const demandReplySchema = z.object({
  plan: regionPlanSchema.optional().describe('Absent if the sender holds it, or there is none.'),
  isPlanWanted: z.boolean().describe('Whether the receiver holds no plan, and the sender does.'),
});

export type RegionShares = z.infer<typeof regionSharesSchema>;
export type RegionSplit = z.infer<typeof regionSplitSchema>;
export type RegionPlan = z.infer<typeof regionPlanSchema>;
export type RegionDemand = z.infer<typeof regionDemandSchema>;
export type DemandReport = z.infer<typeof demandReportSchema>;
export type DemandReply = z.infer<typeof demandReplySchema>;
